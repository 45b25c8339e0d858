package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Setup: two nodes share the quota of an account, which callers at one of them use up. Guards against a node that grants more
// than the quota, and against one that can't tell its operator why it refuses.
func TestNodesShareQuotas(t *testing.T) {
	const rate, burst = 4.0, 4.0
	f := newFleet(t)
	f.accounts = []string{strings.Replace(accountEntry("maker", "key-maker-1"), `"spec":{`, fmt.Sprintf(`"spec":{"ratePerS":%g,"burst":%g,`, rate, burst), 1)}
	f.configure(7, "kassa")
	for range 2 {
		f.add("kassa", "a").target.keepAlive()
	}
	near := f.nodes[0]
	require.Eventually(t, func() bool { return near.callWithKey("warm", "key-maker-1") == http.StatusOK }, 20*time.Second, 20*time.Millisecond)
	begin, granted, refused := time.Now(), 0, 0
	for end := begin.Add(8 * time.Second); time.Now().Before(end) || refused == 0; {
		switch status := near.callWithKey(fmt.Sprintf("%d-%d", granted, refused), "key-maker-1"); status {
		case http.StatusOK:
			granted++
		case http.StatusTooManyRequests:
			refused++
		default:
			require.Fail(t, "unexpected status", status)
		}
		require.LessOrEqual(t, float64(granted), rate*time.Since(begin).Seconds()+burst)
	}
	t.Logf("%d granted, %d refused in %v", granted, refused, time.Since(begin))
	response, err := http.Get("http://" + near.listeners.Metrics + "/state")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	state, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(state), `"fraction":0.5`)
	require.Contains(t, string(state), `"name":"maker"`)
}
