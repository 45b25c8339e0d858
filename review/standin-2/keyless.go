package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// calmTime is how long the node runs before the clients without a key come.
	calmTime       = 63 * time.Second
	keylessClients = 10
	tenantKey      = "k-4f1d9a"
)

// runKeyless lets clients without a key send orders on a route that isn't public, soon after the node has been killed and started
// again. ROUTE is broken if an instance runs one of them: no desired state ever held their key.
func runKeyless(f *fleet, trouble bool) (int, error) {
	m, err := f.add("zurich-a", "alpha")
	if err != nil {
		return exitNotRun, err
	}
	f.configure(1, []string{"alpha"}, []route{{"orders", "shop.example", "/orders/", "non_idempotent", "alpha", 4000, 2}},
		fmt.Sprintf(`{"resourceType":"tenants","metadata":{"name":"t-1"},"spec":{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}}`, tenantKey))
	if !f.awaitReady() {
		return exitNotRun, fmt.Errorf("the node did not become ready")
	}
	order := func(id string, header map[string]string) answer {
		return f.send(request{machine: m, method: http.MethodPost, host: "shop.example", path: "/orders/" + id, id: id, deadline: 4 * time.Second, header: header})
	}
	withKey := map[string]string{"Authorization": "Bearer " + tenantKey}
	served := func() bool { return order(fmt.Sprint("try-", time.Now().UnixNano()), withKey).status == http.StatusOK }
	if !eventually(startTimeout, served) {
		return exitNotRun, fmt.Errorf("an order with a key is not served")
	}
	time.Sleep(calmTime)
	if trouble {
		f.record.printf("%s is killed (SIGKILL) and started again", m.name)
		if err := m.restart(); err != nil {
			return exitNotRun, err
		}
		if !f.awaitReady() || !eventually(startTimeout, served) {
			return exitNotRun, fmt.Errorf("the node does not serve after its restart")
		}
		time.Sleep(4 * time.Second) // The machine is in touch again.
	}
	broken := 0
	for k := range keylessClients {
		id := fmt.Sprintf("till-7.%d", k)
		a := order(id, nil)
		for _, r := range m.instance.ran(id) {
			f.record.printf("BROKEN: an instance ran %s, which bears no key, for the tenant %q; the client got %d", id, r.tenant, a.status)
			broken++
		}
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
