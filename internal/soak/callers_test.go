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
	callerPatience = 3 * time.Second
)

// callers send requests to the node of their VM on connections that they keep until the process is gone.
type callers struct {
	world  *world
	stop   chan struct{}
	group  sync.WaitGroup
	served atomic.Int64
	total  atomic.Int64
}

func startCallers(w *world) *callers {
	c := &callers{world: w, stop: make(chan struct{})}
	for _, n := range w.nodes {
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
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: callerPatience + 500*time.Millisecond}
	rng := rand.New(rand.NewPCG(c.world.seed, uint64(number)))
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
	}
}

func (c *callers) request(client *http.Client, n *node, id, service string, order bool) bool {
	method, uri, body := http.MethodGet, "/read/"+id+"?x=%2F", ""
	if order {
		method, uri, body = http.MethodPost, "/order/"+id, strings.Repeat("item ", 20)
	}
	r, err := http.NewRequest(method, "http://"+n.address(portCallers)+uri, strings.NewReader(body))
	if err != nil {
		panic(err) // The request is fixed but for the id.
	}
	r.GetBody = nil
	r.Host = service + ".example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", fmt.Sprint(callerPatience.Milliseconds()))
	c.world.ledger.send(service, id, order)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	c.world.ledger.answer(id, response.StatusCode)
	if response.StatusCode >= 300 {
		if response.StatusCode == http.StatusNotFound {
			c.world.find("%s refused %s with 404 although all configurations allow it", n.name, id)
		}
		return false
	}
	if string(content) != answerTo(method, uri, id, body) || response.Header.Get("Auburnwinch-Server-Seal") != "seal-"+id {
		c.world.find("request %s got a success with %d bytes that is not its answer: %.60q", id, len(content), content)
	}
	return true
}

// watchConfiguration looks for a process that goes back to an older configuration.
func (c *callers) watchConfiguration(n *node) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
	newest, life := int64(0), 0
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		_, current, _ := n.running()
		if current != life {
			newest, life = 0, current
		}
		version := c.world.version.Load() - int64(i%3)
		if version < 1 || !c.inForce(client, n, version, i) {
			continue
		}
		if _, now, wanted := n.running(); now != life || !wanted {
			continue // The answer may be that of another run.
		}
		if version < newest {
			c.world.find("%s serves configuration %d after %d", n.name, version, newest)
		}
		newest = max(newest, version)
	}
}

// inForce reports whether the node routes by the configuration of the version.
func (c *callers) inForce(client *http.Client, n *node, version int64, i int) bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/only-%d/x", n.address(portCallers), version), nil)
	if err != nil {
		panic(err) // The request is fixed but for the version.
	}
	r.Host = "only.example"
	r.Header.Set("Auburnwinch-Request-Id", fmt.Sprintf("%s-only-%d", n.name, i))
	r.Header.Set("Auburnwinch-Deadline-Ms", "1000")
	c.world.ledger.send(services[0], r.Header.Get("Auburnwinch-Request-Id"), false)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
