package listen

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an error for an address in use that does not name the address, and against a regular shutdown that is
// reported as an error.
func TestListenerShutsDownWithoutError(t *testing.T) {
	l, err := Open("callers", "127.0.0.1:0", &http.Server{ReadHeaderTimeout: time.Second})
	require.NoError(t, err)
	_, err = Open("relay", l.Socket.Addr().String(), &http.Server{ReadHeaderTimeout: time.Second})
	require.ErrorContains(t, err, "relay")
	require.ErrorContains(t, err, l.Socket.Addr().String())

	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + l.Socket.Addr().String())
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	}, 5*time.Second, 10*time.Millisecond)
	l.Close(context.Background())
	require.NoError(t, <-ended)
}
