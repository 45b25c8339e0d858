package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: a target pauses for 2.3 s within its answer while the node of the caller stops. Guards against breaking the
// order off, at which the target is at work, with an answer of the node (LOST).
func TestStopWaitsForATargetThatPauses(t *testing.T) {
	const (
		first, second = "the first half, ", "the second half"
		pause         = 2300 * time.Millisecond
	)
	f, _ := withCaller(t, 1)
	f.nodes[0].target.keepAlive()
	other := f.add("vitrine", "b")
	other.await("kassa", "/read/x")
	f.nodes[0].target.set(func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Auburnwinch-Server-Seal", "seal")
		if r.URL.Query().Get("length") != "" {
			w.Header().Set("Content-Length", fmt.Sprint(len(first+second)))
		}
		_, _ = io.WriteString(w, first)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
		_, _ = io.WriteString(w, second)
		return true
	})
	var calls sync.WaitGroup
	answers := make([]answer, 3)
	for i, c := range []struct{ method, path string }{
		{http.MethodPost, "/order/1"}, {http.MethodPost, "/order/1?length=1"}, {http.MethodGet, "/read/1"},
	} {
		calls.Go(func() { answers[i] = other.callAs(fmt.Sprint("pause-", i), c.method, "kassa", c.path) })
	}
	time.Sleep(300 * time.Millisecond)
	other.stop()
	calls.Wait()
	for _, a := range answers {
		require.NoError(t, a.err, f.logOf(a.id))
		require.Equal(t, http.StatusOK, a.status, "after %v: %s\n%s", a.took, a.body, f.logOf(a.id))
		require.Equal(t, first+second, a.body)
	}
}
