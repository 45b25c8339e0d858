package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func configurationOf(routes ...model.RouteSpec) *model.Configuration {
	return &model.Configuration{Number: 7, Services: []model.ServiceSpec{{Name: "shop", Routes: routes}}}
}

// naive finds the route by a linear search.
func naive(routes []model.RouteSpec, host, path, method string) (string, error) {
	for _, wanted := range []string{host, ""} {
		longest, name, err := -1, "", ErrNoRoute
		for _, r := range routes {
			prefix := strings.TrimSuffix(r.PathPrefix, "/")
			if r.Host != wanted || path != prefix && !strings.HasPrefix(path, prefix+"/") || len(prefix) < longest {
				continue
			}
			if len(prefix) > longest {
				longest, name, err = len(prefix), "", ErrMethod
			}
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				name, err = r.Name, nil
			}
		}
		if longest >= 0 {
			return name, err
		}
	}
	return "", ErrNoRoute
}

// Guards against matches that differ from the rules: exact host first, then the longest prefix of whole segments, then
// the method.
func TestMatchAgreesWithRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 4)
		host := rapid.SampledFrom([]string{"", "one.example", "two.example"})
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT"})
		var routes []model.RouteSpec
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			next := model.RouteSpec{
				Name: fmt.Sprint(i), Host: host.Draw(t, "host"), PathPrefix: "/" + strings.Join(segments.Draw(t, "prefix"), "/"),
				Methods: rapid.SliceOfNDistinct(method, 0, 2, rapid.ID[string]).Draw(t, "methods"),
			}
			if _, err := New(configurationOf(append(routes, next)...)); err == nil {
				routes = append(routes, next)
			}
		}
		table, err := New(configurationOf(routes...))
		require.NoError(t, err)
		path := "/" + strings.Join(segments.Draw(t, "path"), "/")
		from, verb := host.Draw(t, "from"), method.Draw(t, "verb")
		wanted, wantedErr := naive(routes, from, path, verb)
		got, err := table.Match(from, path, verb)
		require.ErrorIs(t, err, wantedErr)
		if wantedErr == nil {
			require.Equal(t, wanted, got.Route.Name)
		}
	})
}

// Guards against host names that match only in one case, or only without port or trailing dot.
func TestHostSpelling(t *testing.T) {
	table, err := New(configurationOf(model.RouteSpec{Name: "r", Host: "Shop.Example", PathPrefix: "/"}))
	require.NoError(t, err)
	for _, host := range []string{"shop.example", "SHOP.example:8080", "shop.example."} {
		_, err := table.Match(host, "/x", "GET")
		require.NoError(t, err, host)
	}
	_, err = table.Match("other.example", "/x", "GET")
	require.ErrorIs(t, err, ErrNoRoute)
	require.Equal(t, uint64(7), table.Number())
	require.Equal(t, 1, table.Len())
}

// Guards against tables in which two routes accept the same request, and against malformed prefixes.
func TestInvalidRoutes(t *testing.T) {
	for _, routes := range [][]model.RouteSpec{
		{{Name: "a", PathPrefix: "/x"}, {Name: "b", PathPrefix: "/x/"}},
		{{Name: "a", PathPrefix: "/x", Methods: []string{"GET"}}, {Name: "b", PathPrefix: "/x", Methods: []string{"get"}}},
		{{Name: "a", PathPrefix: "x"}},
		{{Name: "a", PathPrefix: "/x?y"}},
		{{Name: "a", PathPrefix: "/../x"}},
		{{Name: "a"}},
	} {
		_, err := New(configurationOf(routes...))
		require.ErrorIs(t, err, ErrInvalid)
	}
}

// Guards against paths that a target would resolve to a path of another route.
func TestDotSegments(t *testing.T) {
	for path, valid := range map[string]bool{
		"/": true, "/a.b/.c/..d/...": true, "/a/..": false, "/../a": false, "/a/./b": false, "/.": false, "a": false,
		"": false, "/a/.b/../c": false, "/a/.../.": false,
	} {
		require.Equal(t, valid, validPath(path), path)
	}
}

// BenchmarkMatch looks up requests among 2,500 routes of 170 services.
func BenchmarkMatch(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	c := &model.Configuration{}
	var paths []string
	for s := range 170 {
		spec := model.ServiceSpec{Name: fmt.Sprintf("service-%d", s)}
		for r := range 15 {
			prefix := fmt.Sprintf("/service-%d/resource-%d", s, r)
			spec.Routes = append(spec.Routes, model.RouteSpec{Name: prefix, PathPrefix: prefix, Host: []string{"", "shop.example"}[s%2]})
			paths = append(paths, prefix+"/items/4711/parts")
		}
		c.Services = append(c.Services, spec)
	}
	table, err := New(c)
	require.NoError(b, err)
	random.Shuffle(len(paths), func(i, j int) { paths[i], paths[j] = paths[j], paths[i] })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := table.Match("shop.example:8080", paths[i%len(paths)], "GET"); err != nil {
			b.Fatal(err)
		}
	}
}
