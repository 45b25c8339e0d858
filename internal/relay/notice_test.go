package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against a limit that changes on its way between nodes, above all a limit of zero that looks like none.
func TestNoticeRoundTrip(t *testing.T) {
	for _, n := range []Notice{
		{}, {Limited: true}, {RateLimit: 0.1, Limited: true}, {RateLimit: 1234.5, Limited: true, Leaving: true}, {Leaving: true},
	} {
		h := http.Header{}
		n.Set(h)
		require.Equal(t, n, ParseNotice(h))
	}
	require.Equal(t, Notice{}, ParseNotice(http.Header{model.HeaderRateLimit: {"-2"}, model.HeaderTargetLeaving: {"0"}}))
}
