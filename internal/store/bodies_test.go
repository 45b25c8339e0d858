package store

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// closedBody behaves as a request body of the SDK that was closed after its last byte had been read.
type closedBody struct{ io.Reader }

func (closedBody) Close() error { return nil }

// WriteTo returns what the SDK's body returns once it is closed.
func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }

// Pattern: the platform answers before net/http has looked for more of the request body. Guards against a connection that is
// closed under the response, which fails a call that has succeeded.
func TestEarlyAnswerKeepsTheConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer server.Close()
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written <- i.Err }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, server.URL, closedBody{strings.NewReader("query")})
	require.NoError(t, err)
	r.ContentLength = int64(len("query"))
	c := &Config{}
	c.setDefaults()
	response, err := c.newHTTPClient().Do(r)
	require.NoError(t, <-written)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}
