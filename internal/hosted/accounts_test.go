package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// accountEntry returns the configuration entry of a client account.
func accountEntry(name string, keys ...string) string {
	return fmt.Sprintf(`{"resourceType":"tenants","metadata":{"name":"%s"},"spec":{"apiKeys":["%s"]}}`, name, strings.Join(keys, `","`))
}

// callWith sends a request with the headers, given as name and value by turns, and returns the status.
func (n *testNode) callWith(id, path string, header ...string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.listeners.Callers+path, nil)
	require.NoError(n.fleet.t, err)
	r.Host = "kassa.example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", "3000")
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // Only the status matters.
	return response.StatusCode
}

func (n *testNode) callWithKey(id, key string) int {
	return n.callWith(id, "/read/1", "Authorization", "Bearer "+key)
}

// noKeyIn fails if a log, the state dump or the metrics of a node hold one of the keys.
func (f *fleet) noKeyIn(keys ...string) {
	f.t.Helper()
	for _, n := range f.nodes {
		texts := []string{n.log.String()}
		for _, path := range []string{"/state", "/metrics"} {
			response, err := http.Get("http://" + n.listeners.Metrics + path)
			require.NoError(f.t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.NoError(f.t, err)
			texts = append(texts, string(body))
		}
		for _, key := range keys {
			for _, text := range texts {
				require.NotContains(f.t, text, key)
			}
		}
	}
}

// Guards against requests that run without a key or with a withdrawn one, against keys and forged accounts that reach a
// target, and against keys in logs, the state dump and metrics.
func TestClientAccounts(t *testing.T) {
	f := newFleet(t)
	f.accounts = []string{accountEntry("maker", "key-maker-1", "key-maker-2"), accountEntry("buyer", "key-buyer-1")}
	f.configure(7, "kassa")
	served, caller := f.add("kassa", "a"), f.add("werk", "a")
	seen := make(chan http.Header, 100)
	served.target.set(func(_ http.ResponseWriter, r *http.Request) bool {
		seen <- r.Header.Clone()
		return false
	})
	require.Eventually(t, func() bool { return caller.callWithKey("warm", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
	for len(seen) > 0 {
		<-seen
	}
	for i, c := range []struct {
		key, account string
		status       int
	}{
		{"key-maker-1", "maker", 200},
		{"key-maker-2", "maker", 200},
		{"key-buyer-1", "buyer", 200},
		{"key-of-nobody", "", 401},
		{"", "", 401},
	} {
		id := fmt.Sprintf("keyed-%d", i)
		status := caller.callWith(id, "/read/1", "Authorization", "Bearer "+c.key, "Auburnwinch-Tenant", "forged", "Auburnwinch-Account", "forged")
		require.Equal(t, c.status, status, c.key)
		if c.status != http.StatusOK {
			require.Zero(t, served.target.ran(id))
			continue
		}
		h := <-seen
		require.Empty(t, h.Values("Authorization"))
		require.Equal(t, []string{c.account}, h.Values("Auburnwinch-Tenant"))
		require.Empty(t, h.Values("Auburnwinch-Account"))
	}
	f.accounts = []string{accountEntry("maker", "key-maker-2"), accountEntry("buyer", "key-buyer-1", "key-maker-2")}
	f.configure(8, "kassa")
	require.Eventually(t, func() bool { return caller.log.contains("configuration rejected", "share a key") }, 5*time.Second, 20*time.Millisecond)
	f.accounts = []string{`{"resourceType":"tenants","metadata":{"name":"maker"},"spec":{"apiKeys":["key-maker-1",17],"ratePerS":"key-maker-2"}}`}
	f.configure(9, "kassa")
	require.Eventually(t, func() bool { return caller.log.contains("configuration rejected", "apiKeys must be") }, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, caller.callWithKey("still", "key-maker-1"), "the configuration before stays in force")
	f.accounts = []string{accountEntry("maker", "key-maker-2")}
	f.configure(10, "kassa")
	require.Eventually(t, func() bool { return caller.callWithKey("withdrawn", "key-maker-1") == http.StatusUnauthorized }, 5*time.Second, 20*time.Millisecond)
	f.noKeyIn("key-maker-1", "key-maker-2", "key-buyer-1", "key-of-nobody")
}

// Guards against calls of targets that are refused for want of a key although the request that makes them runs, against an
// account that is shown to the target of such a call, and against a node that takes any request for a call because its id has
// the form of one, right after its start (ROUTE) or later.
func TestCallsNeedNoKey(t *testing.T) {
	f := newFleet(t)
	f.accounts = []string{accountEntry("maker", "key-maker-1")}
	f.configure(7, "kassa")
	served := f.add("kassa", "a")
	require.Eventually(t, func() bool { return served.callWithKey("warm", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
	accounts := make(chan string, 100)
	nested := make(chan int, 100)
	served.target.set(func(_ http.ResponseWriter, r *http.Request) bool {
		accounts <- r.Header.Get("Auburnwinch-Tenant")
		if r.Header.Get("Auburnwinch-Request-Id") == "parent" {
			nested <- served.callWith("parent.1", "/read/2")
		}
		return false
	})
	require.Equal(t, http.StatusOK, served.callWithKey("parent", "key-maker-1"))
	require.Equal(t, http.StatusOK, <-nested)
	require.Equal(t, "maker", <-accounts)
	require.Empty(t, <-accounts)
	requireRefused := func() {
		t.Helper()
		for i := range 10 {
			id := fmt.Sprintf("till-7.%d", i)
			require.Equal(t, http.StatusServiceUnavailable, served.callWith(id, "/read/2"))
			require.Zero(t, served.target.ran(id))
		}
		require.Equal(t, http.StatusUnauthorized, served.callWith("plain", "/read/2"))
	}
	requireRefused()
	served.restart("a")
	served.target.heartbeat("ready")
	require.Eventually(t, func() bool { return served.callWithKey("parent", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, <-nested, "the new process knows what runs under it")
	requireRefused()
}

// Guards against keys that are refused as unknown by a node that knows no configuration.
func TestNoConfigurationIsNoUnknownKey(t *testing.T) {
	f := newFleet(t)
	f.store.SetFault(func(c fake.Call) fake.Fault {
		if c.Table == "op" {
			return fake.Fault{Status: http.StatusServiceUnavailable}
		}
		return fake.Fault{}
	})
	f.accounts = []string{accountEntry("maker", "key-maker-1")}
	f.configure(7, "kassa")
	require.Equal(t, http.StatusServiceUnavailable, f.add("kassa", "a").callWithKey("early", "key-maker-1"))
}

// Setup: the store turns one node away while it serves the others; requests pass between them. Guards against withdrawn keys
// that work there until the store takes the node back, when a node of its own failure domain, or only one of another, has
// the newest configuration.
func TestRefusedNodeGetsConfigurationFromOthers(t *testing.T) {
	for _, domains := range [][2]string{{"a", "a"}, {"a", "b"}} {
		f := newFleet(t)
		f.accounts = []string{accountEntry("maker", "key-maker-1", "key-maker-2")}
		f.configure(7, "kassa")
		refused, served := f.add("werk", domains[0]), f.add("kassa", domains[1])
		require.Eventually(t, func() bool { return refused.callWithKey("warm", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
		refused.store.setCut(true)
		f.accounts = []string{accountEntry("maker", "key-maker-2")}
		f.configure(8, "kassa")
		requests := 0
		require.Eventually(t, func() bool {
			requests++
			refused.callWithKey(fmt.Sprintf("open-%d", requests), "key-maker-2") // Its response tells of the newer configuration.
			return refused.callWithKey(fmt.Sprintf("withdrawn-%d", requests), "key-maker-1") == http.StatusUnauthorized
		}, 3*time.Second, 20*time.Millisecond, "domains %v", domains)
		require.True(t, refused.log.contains("configuration received from another node", `"number":8`))
		require.Zero(t, served.target.ran(fmt.Sprintf("withdrawn-%d", requests)))
	}
}

// Setup: strict revocation; the store turns one node away, and later all of them. Guards against keys that are refused
// although another node can confirm them, and against keys that are accepted for longer than the bound without contact.
func TestStrictRevocation(t *testing.T) {
	const bound = 2 * time.Second
	f := newFleet(t)
	f.accounts = []string{accountEntry("maker", "key-maker-1")}
	f.configure(7, "kassa")
	f.revocation = access.Revocation{Strict: true, Bound: bound}
	near, other := f.add("kassa", "a"), f.add("kassa", "b")
	for _, n := range f.nodes {
		n.target.keepAlive()
		require.Eventually(t, func() bool { return n.callWithKey("warm", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
		// A node learns of others from the store, which is about to be cut off.
		require.Eventually(t, func() bool { return n.log.contains("members changed", `"nodes":2`) }, 5*time.Second, 10*time.Millisecond)
	}
	near.store.setCut(true)
	time.Sleep(2 * bound)
	require.Eventually(t, func() bool { return near.callWithKey("confirmed", "key-maker-1") == http.StatusOK }, 2*time.Second, 20*time.Millisecond)
	other.store.setCut(true)
	time.Sleep(bound)
	for _, n := range f.nodes {
		require.Equal(t, http.StatusServiceUnavailable, n.callWithKey("unconfirmed", "key-maker-1"))
	}
	near.store.setCut(false)
	require.Eventually(t, func() bool { return near.callWithKey("again", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
}

// Setup: a node restarts while the store turns it away, so that it knows no other node. Guards against a node that has no
// configuration and no other nodes until the store takes it back, although requests arrive from nodes that have them.
func TestNodeStartsWithoutTheStore(t *testing.T) {
	f := newFleet(t)
	f.accounts = []string{accountEntry("maker", "key-maker-1")}
	f.configure(7, "kassa")
	restarted, other := f.add("kassa", "a"), f.add("werk", "a")
	require.Eventually(t, func() bool { return other.callWithKey("warm", "key-maker-1") == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
	restarted.store.setCut(true)
	restarted.restartUnready("a")
	restarted.target.keepAlive()
	require.False(t, restarted.ready())
	requests := 0
	require.Eventually(t, func() bool {
		requests++
		other.callWithKey(fmt.Sprintf("other-%d", requests), "key-maker-1")
		return restarted.ready() && restarted.callWithKey(fmt.Sprintf("own-%d", requests), "key-maker-1") == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
	require.True(t, restarted.log.contains("configuration received from another node", `"number":7`))
}
