package hosted_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The failure domain of the caller has no target of the service. Guards against a request that leaves without a trace of the
// reason in the log, in its explanation and in the metrics.
func TestLeavingIsExplained(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa", "vitrine")
	f.add("kassa", "a")
	caller := f.add("vitrine", "b")
	require.Eventually(t, func() bool {
		return caller.call(http.MethodGet, "kassa", "/read/x").status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
	a := caller.callAs("left", http.MethodGet, "kassa", "/read/x")
	require.Equal(t, http.StatusOK, a.status)
	require.Eventually(t, func() bool { return strings.Contains(caller.log.String(), `"id":"left"`) }, 2*time.Second, 10*time.Millisecond)
	require.Regexp(t, "left for the tier (region|remote) because of no-target", f.explain("left"))
}
