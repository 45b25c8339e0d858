package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against shares that differ from the weights, and against parts of weight 0 that get requests.
func TestPickServiceFollowsWeights(t *testing.T) {
	parts := []model.SplitPart{{Service: "none", Weight: 0}, {Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "last", Weight: 0}}
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[PickService(parts, float64(i)/draws)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	require.Equal(t, "b", PickService(parts, 1), "rounding must not select a part without weight")
	require.Empty(t, PickService(parts[:1], 0.5))
}

// Guards against literal prefixes that match paths which do not start with them: the path without the trailing slash,
// another case, or a path that starts with them only after resolution.
func TestLiteralPrefix(t *testing.T) {
	table, err := New(&model.Configuration{Services: []model.ServiceSpec{
		{Name: "outer", Routes: []model.RouteSpec{{Name: "outer", Host: "h.example", PathPrefix: "/a/", Literal: true}}},
		{Name: "inner", Routes: []model.RouteSpec{{Name: "inner", Host: "h.example", PathPrefix: "/a/b/", Literal: true}}},
	}})
	require.NoError(t, err)
	for path, service := range map[string]string{
		"/a/": "outer", "/a/x": "outer", "/a/b": "outer", "/a/b/": "inner", "/a/b/c/d": "inner", "/a/../a/b/x": "outer",
		"/a//b/": "outer", "/a": "", "/A/": "", "/": "", "": "",
	} {
		match, err := table.Match("H.example:8080", path, "GET")
		if service == "" {
			require.ErrorIs(t, err, ErrNoRoute, path)
			continue
		}
		require.NoError(t, err, path)
		require.Equal(t, service, match.Service, path)
	}
	_, err = table.Match("other.example", "/a/x", "GET")
	require.ErrorIs(t, err, ErrNoRoute)
}
