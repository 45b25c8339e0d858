package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
)

const (
	accountName = "steady"
	accountKey  = "key-of-steady"
	// onlyPrefix begins the paths that need no key.
	onlyPrefix = "/only-"
	// strangerPrefix begins the ids of requests without the key of an account; one request in strangerShare is one.
	strangerPrefix = "stranger-"
	strangerShare  = 20
)

// versionKey is a key that only the configuration of the version has.
func versionKey(version int64) string { return fmt.Sprintf("key-of-version-%d", version) }

// accountResource is the client account of all callers.
func accountResource(version int64) string {
	return fmt.Sprintf(`{"resourceType":"tenants","metadata":{"name":"%s"},"spec":{"apiKeys":["%s","%s"]}}`, accountName, accountKey, versionKey(version))
}

// authorize gives the request a key, and a forged account.
func authorize(r *http.Request, key string) {
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Auburnwinch-Tenant", "forged")
}

// checkAccount checks which account a request shows to the target.
func (g *target) checkAccount(r *http.Request, id string) {
	want := accountName
	if strings.HasPrefix(r.RequestURI, onlyPrefix) {
		want = ""
	}
	if got := strings.Join(r.Header.Values("Auburnwinch-Tenant"), ","); got != want {
		g.harness.addViolation("request %s reached a target as one of the account %q instead of %q", id, got, want)
	}
	if r.Header.Get("Authorization") != "" {
		g.harness.addViolation("request %s reached a target with its key", id)
	}
	if strings.HasPrefix(id, strangerPrefix) {
		g.harness.addViolation("request %s reached a target without a valid key", id)
	}
}

// sendStranger now and then sends a request with a key that no configuration has.
func (c *callers) sendStranger(client *http.Client, n *node, id string) {
	if rand.IntN(strangerShare) > 0 {
		return
	}
	_, _ = c.keyStatus(client, n, strangerPrefix+id, "key-of-nobody") // Its target checks that it does not run.
}

// keyStatus returns the status of an idempotent request with the key.
func (c *callers) keyStatus(client *http.Client, n *node, id, key string) (int, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.address(portCallers)+"/read/"+id, nil)
	if err != nil {
		panic(err) // Only the id varies, so the request is always valid.
	}
	r.Host = services[0] + ".example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", "1000")
	authorize(r, key)
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// checkWithdrawnKeys checks that every node refuses a key that the configuration in force has no longer.
func checkWithdrawnKeys(h *harness) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	c := &callers{harness: h}
	var group sync.WaitGroup
	for _, n := range h.nodes {
		group.Go(func() {
			id := strangerPrefix + "withdrawn-" + n.name
			if status, err := c.keyStatus(client, n, id, versionKey(h.version.Load()-1)); status != http.StatusUnauthorized {
				h.addViolation("%s answers a withdrawn key with status %d, error %v", n.name, status, err)
			}
		})
	}
	group.Wait()
}
