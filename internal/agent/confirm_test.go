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

// ends keeps how requests ended, as the limiter is told.
type ends chan ResultKind

// Acquire admits all requests.
func (e ends) Acquire(context.Context, AdmitRequest) (Permit, error) { return e, nil }

// Load reports nothing.
func (ends) Load() relay.Load { return relay.Load{} }

// Release keeps the result.
func (e ends) Release(r Result) { e <- r.Kind }

// newEndsAgent returns an agent that admits all requests, and how these end.
func newEndsAgent(t *testing.T) (ends, *Agent) {
	t.Helper()
	e := make(ends, 1)
	a, err := New(Config{
		Self: model.NodeRef{ID: "n", Incarnation: 1}, DisableLivenessConns: true,
		NewLimiter: func(model.Target, model.ServiceSpec) Limiter { return e },
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = a.Close() })
	return e, a
}

// Guards against an edge that gives up before its request runs and makes the target look sick, and against a target that
// can't be reached and does not.
func TestUnconfirmedRequestIsNoEvidence(t *testing.T) {
	e, a := newEndsAgent(t)
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
		t.Fatal("the slot was not given back")
	}
}
