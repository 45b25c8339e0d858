package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// resultRecorder is a limiter that admits all requests and records how they end.
type resultRecorder chan ResultKind

// Acquire admits all requests.
func (e resultRecorder) Acquire(context.Context, AdmitRequest) (Permit, error) { return e, nil }

// Load returns no load.
func (resultRecorder) Load() relay.Load { return relay.Load{} }

// Release records the result.
func (e resultRecorder) Release(r Result) { e <- r.Kind }

// newRecordingAgent returns an agent that admits all requests, and the recorder of their results.
func newRecordingAgent(t *testing.T) (resultRecorder, *Agent) {
	t.Helper()
	e := make(resultRecorder, 1)
	a, err := New(Config{
		Self: model.NodeRef{ID: "n", Incarnation: 1}, DisableLivenessConns: true,
		NewLimiter: func(model.Target, model.ServiceSpec) Limiter { return e },
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = a.Close() })
	return e, a
}

// Guards against an edge that gives up before its request runs and makes the target look unhealthy, and against an
// unreachable target that does not look unhealthy.
func TestUnconfirmedRequestIsCanceled(t *testing.T) {
	e, a := newRecordingAgent(t)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 1, false)))
	server := httptest.NewServer(a)
	defer server.Close()
	relayed := func(body string) *http.Response {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n%s: rank=1\r\n%s: kassa/i-1/100\r\n\r\n",
			model.HeaderClass, model.HeaderTarget)
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusContinue, response.StatusCode)
		if body == "" {
			return response
		}
		_, err = conn.Write([]byte(body))
		require.NoError(t, err)
		response, err = http.ReadResponse(reader, nil)
		require.NoError(t, err)
		return response
	}
	relayed("")
	require.Equal(t, ResultCanceled, <-e)

	response := relayed("0\r\n\r\n")
	require.Equal(t, relay.ReasonUnreachable, response.Header.Get(model.HeaderReason))
	select {
	case kind := <-e:
		require.Equal(t, ResultNotSent, kind)
	case <-time.After(5 * time.Second):
		t.Fatal("the slot was not released")
	}
}
