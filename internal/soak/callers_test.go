package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callersPerNode = 3
	thinkTime      = 40 * time.Millisecond
	callerTimeout  = 3 * time.Second
)

// callers send requests to the node of their VM over connections that stay open until the process exits.
type callers struct {
	harness *harness
	stop    chan struct{}
	group   sync.WaitGroup
	served  atomic.Int64
	total   atomic.Int64
}

func startCallers(h *harness) *callers {
	c := &callers{harness: h, stop: make(chan struct{})}
	for _, n := range h.nodes {
		for i := range callersPerNode {
			c.group.Go(func() { c.run(n, i) })
		}
		c.group.Go(func() { c.watchConfiguration(n) })
	}
	return c
}

func (c *callers) close() {
	close(c.stop)
	c.group.Wait()
}

func (c *callers) run(n *node, number int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: callerTimeout + 500*time.Millisecond}
	rng := rand.New(rand.NewPCG(c.harness.seed, uint64(number)))
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			client.CloseIdleConnections()
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * thinkTime)))):
		}
		service, order := services[rng.IntN(len(services))], rng.IntN(2) == 0
		id := fmt.Sprintf("%s-%d-%d", n.name, number, i)
		if served := c.request(client, n, id, service, order); served {
			c.served.Add(1)
		}
		c.total.Add(1)
		c.sendStranger(client, n, id)
	}
}

func (c *callers) request(client *http.Client, n *node, id, service string, order bool) bool {
	method, uri, body := http.MethodGet, "/read/"+id+"?x=%2F", ""
	if order {
		method, uri, body = http.MethodPost, "/order/"+id, strings.Repeat("item ", 20)
	}
	if order && c.uploads(id) {
		body = upload
	}
	r, err := http.NewRequest(method, "http://"+n.address(portCallers)+uri, strings.NewReader(body))
	if err != nil {
		panic(err) // Only the id varies, so the request is always valid.
	}
	r.GetBody = nil
	r.Host = service + ".example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	authorize(r, accountKey)
	c.harness.ledger.requestSent(service, id, order)
	c.harness.notices.requestSent(id)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	c.harness.ledger.responseReceived(id, response.StatusCode)
	c.harness.notices.answerReceived(id, response.Header)
	if response.StatusCode >= 300 {
		if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusUnauthorized {
			c.harness.addViolation("%s rejected %s with status %d although every configuration has its route and key", n.name, id, response.StatusCode)
		}
		return false
	}
	if string(content) != expectedBody(method, uri, id, body) || response.Header.Get("Auburnwinch-Server-Seal") != "seal-"+id {
		c.harness.addViolation("request %s got a successful response with a wrong body or seal, %d bytes: %.60q", id, len(content), content)
	}
	return true
}

// watchConfiguration reports a process that returns to an older configuration.
func (c *callers) watchConfiguration(n *node) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	newest, starts := int64(0), 0
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		_, current, _ := n.currentProcess()
		if current != starts {
			newest, starts = 0, current
		}
		version := c.harness.version.Load() - int64(i%3)
		if version < 1 || !c.inForce(client, n, version, i) {
			continue
		}
		if _, now, shouldRun := n.currentProcess(); now != starts || !shouldRun {
			continue // The response may come from another process.
		}
		if version < newest {
			c.harness.addViolation("%s uses configuration %d after %d", n.name, version, newest)
		}
		newest = max(newest, version)
	}
}

// inForce reports whether the node uses the configuration of the version.
func (c *callers) inForce(client *http.Client, n *node, version int64, i int) bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s%d/x", n.address(portCallers), onlyPrefix, version), nil)
	if err != nil {
		panic(err) // Only the version varies, so the request is always valid.
	}
	r.Host = "only.example"
	r.Header.Set("Auburnwinch-Request-Id", fmt.Sprintf("%s-only-%d", n.name, i))
	r.Header.Set("Auburnwinch-Deadline-Ms", "1000")
	c.harness.ledger.requestSent(services[0], r.Header.Get("Auburnwinch-Request-Id"), false)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
