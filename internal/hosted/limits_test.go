package hosted_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against chunked bodies above the configured limit that reach a target, and against answers that the metrics do
// not count by service and kind.
func TestBodyLimitAppliesToChunkedBodies(t *testing.T) {
	f := newFleet(t)
	f.bodyLimit = 1000
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	require.Eventually(t, func() bool {
		return n.call(http.MethodPost, "kassa", "/order/1").status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
	ran := n.target.total()
	for name, chunked := range map[string]bool{"announced": false, "chunked": true} {
		var body io.Reader = strings.NewReader(strings.Repeat("x", 1001))
		if chunked {
			body = io.MultiReader(body) // Hides the length from the HTTP client.
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+n.listeners.Callers+"/order/1", body)
		require.NoError(t, err)
		request.Host = "kassa.example"
		request.Header.Set("Auburnwinch-Request-Id", name)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode, name)
		require.NoError(t, response.Body.Close())
	}
	require.Equal(t, ran, n.target.total())

	response, err := http.Get("http://" + n.listeners.Metrics + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Regexp(t, `auburnwinch_edge_answers_total\{kind="once",.*outcome="done",service="kassa"\}`, string(text))
}
