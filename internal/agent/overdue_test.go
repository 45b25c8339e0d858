package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Requests need more time than their route permits. Guards against a healthy target that looks unhealthy because it
// ends them with 504 on time, and against one that responds 504 long before the deadline and looks healthy.
func TestResponseAtDeadlineIsNoFailure(t *testing.T) {
	e, a := newRecordingAgent(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		if err == nil {
			time.Sleep(wait)
		}
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	defer target.Close()
	h := heartbeat("i-1", 100, 1, false)
	h.Address = target.Listener.Addr().String()
	require.NoError(t, a.Announce(h))
	node := httptest.NewServer(a)
	defer node.Close()

	ask := func(wait, timeout time.Duration) ResultKind {
		request, err := http.NewRequest(http.MethodGet, node.URL+"/x?wait="+wait.String(), nil)
		require.NoError(t, err)
		request.Header.Set(model.HeaderClass, relay.Class{Idempotent: true}.String())
		request.Header.Set(model.HeaderTarget, "kassa/i-1/100")
		request.Header.Set(model.HeaderTimeout, timeout.String())
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return <-e
	}
	require.Equal(t, ResultOverdue, ask(450*time.Millisecond, 500*time.Millisecond))
	require.Equal(t, ResultError, ask(0, time.Minute))
}
