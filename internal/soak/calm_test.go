package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

const (
	// configurationBound is the time after the store is sound again in which every node must have the latest configuration.
	configurationBound = 3 * time.Second
	// quarantineBound is the time after the third crash from which lateArrivals arrivals of a poison request are permitted.
	quarantineBound = 3 * time.Second
	lateArrivals    = 3
	poisonTime      = 8 * time.Second
	uploadsPerNode  = 10
	// healthTime is the time after which targets whose answers broke off get orders again.
	healthTime = 5 * time.Second
)

// checkCalm checks guarantees that hold only without other faults. The callers have stopped, so that no request tells a
// node of a configuration.
func checkCalm(h *harness) {
	checkLostResponses(h)
	checkWithdrawnKeys(h)
	checkPauses(h)
	checkResets(h)
	time.Sleep(healthTime)
	checkDepartedPoison(h)
}

// checkLostResponses checks that lost responses of the store don't hide a configuration once it is sound again.
func checkLostResponses(h *harness) {
	h.store.SetLost(func(fake.Call) bool { return true })
	time.Sleep(2 * time.Second)
	h.writeNextConfiguration()
	time.Sleep(200 * time.Millisecond)
	h.store.SetLost(nil)
	time.Sleep(configurationBound)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	c := &callers{harness: h}
	var group sync.WaitGroup
	for _, n := range h.nodes {
		group.Go(func() {
			if !c.inForce(client, n, h.version.Load(), -1) {
				h.addViolation("%s has not got configuration %d %s after the store had lost responses", n.name, h.version.Load(), configurationBound)
			}
		})
	}
	group.Wait()
}

// checkResets checks that no part of an answer is a success when the targets reset the connections of uploads.
func checkResets(h *harness) {
	for _, n := range h.nodes {
		n.target.setResetsUploads(true)
		defer n.target.setResetsUploads(false)
	}
	var group sync.WaitGroup
	for i, n := range h.nodes {
		group.Go(func() {
			for j := range uploadsPerNode {
				id := fmt.Sprintf("%s-reset-%d", n.name, j)
				if status, body := h.send(n, callerTimeout, id, services[i%len(services)], "/order/"+id, upload); status == http.StatusOK {
					h.addViolation("upload %s got a success of %d bytes although its target reset the connection", id, len(body))
				}
			}
		})
	}
	group.Wait()
}

// checkPauses checks that orders at targets that pause within their answers are served across a restart of the node that
// took them.
func checkPauses(h *harness) {
	var group sync.WaitGroup
	n := h.nodes[int(h.seed)%len(h.nodes)]
	for i, service := range services {
		group.Go(func() {
			id := fmt.Sprintf("%s-pause-%d", n.name, i)
			status, body := h.send(n, callerTimeout+answerPause, id, service, pausePath+id, "order")
			if status != http.StatusOK || body != expectedBody(http.MethodPost, pausePath+id, id, "order") {
				h.addViolation("order %s got status %d, %d bytes: %.60q, although its target only paused", id, status, len(body), body)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n.restart((*procs.Process).Terminate, shutdownGrace)
	group.Wait()
}

// checkDepartedPoison checks that a request that crashes its targets after its caller has left is quarantined.
func checkDepartedPoison(h *harness) {
	for end, i := time.Now().Add(poisonTime), 0; time.Now().Before(end); i++ {
		n := h.nodes[i%len(h.nodes)]
		h.send(n, crashDelay/2, fmt.Sprintf("%s-poison-%d", n.name, i), services[0], poisonPath, "the same")
		time.Sleep(crashDelay / 2)
	}
	switch late, all := h.poison.late(quarantineBound); {
	case all < 3:
		h.addViolation("a poison request reached %d targets only", all)
	case late > lateArrivals:
		h.addViolation("a poison request of departed callers reached %d targets, %d of them late", all, late)
	}
}

// send sends an order and returns the answer, or zero if there is none within the time.
func (h *harness) send(n *node, most time.Duration, id, service, uri, body string) (status int, content string) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(portCallers)+uri, strings.NewReader(body))
	if err != nil {
		panic(err) // Only the id varies, so the request is always valid.
	}
	r.Host = service + ".example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()+answerPause.Milliseconds()))
	authorize(r, accountKey)
	h.ledger.requestSent(service, id, true)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(read)
	}
	return response.StatusCode, string(read)
}
