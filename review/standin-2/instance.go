package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID     = "Auburnwinch-Request-Id"
	headerExpect = "Auburnwinch-Expect-Instance"
	headerSeal   = "Auburnwinch-Server-Seal"
	headerTenant = "Auburnwinch-Tenant"
	headerLimit  = "Auburnwinch-Deadline-Ms"
	slots        = 7
)

// instance is a sound application instance. The query of a request says how it works: work is its time in ms, bytes the length
// of its answer.
type instance struct {
	machine *machine
	id      string
	born    int64
	stopped chan struct{}
	once    sync.Once

	mu       sync.Mutex
	sequence int
	runs     map[string][]run
	running  int
}

// run is one run of a request.
type run struct {
	at     time.Time
	tenant string
	path   string
}

func newInstance(m *machine) *instance {
	now := time.Now()
	return &instance{
		machine: m, id: fmt.Sprintf("i-%08x-%s", uint32(now.UnixNano()), m.ip[len(m.ip)-1:]), born: now.UnixMilli(), stopped: make(chan struct{}),
		runs: make(map[string][]run),
	}
}

// ServeHTTP runs a request, unless it expects another instance or there is no slot.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != i.id {
		w.Header().Set("Auburnwinch-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !i.begin(r, id) {
		w.Header().Set("Auburnwinch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.end()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-time.After(time.Duration(number(r, "work")) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerSeal, "3e1b."+id)
	w.Header().Set("Auburnwinch-Server-Load", fmt.Sprintf("%d,0,%d", i.load(), slots))
	size := max(2, number(r, "bytes"))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err := w.Write(bytes.Repeat([]byte{'x'}, size))
	if size <= 2 {
		return
	}
	i.machine.fleet.record.printf("instance of %s on %s has ended its work on %s: %d bytes, error %v", i.machine.service, i.machine.name, id, size, err)
}

func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func (i *instance) begin(r *http.Request, id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running >= slots {
		return false
	}
	i.running++
	i.runs[id] = append(i.runs[id], run{at: time.Now(), tenant: r.Header.Get(headerTenant), path: r.URL.Path})
	i.machine.fleet.record.printf("instance of %s on %s runs %s %s %s", i.machine.service, i.machine.name, id, r.Method, r.RequestURI)
	return true
}

func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
}

func (i *instance) load() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running
}

// ran returns the runs of the request.
func (i *instance) ran(id string) []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs[id]...)
}

// all returns the runs of all requests.
func (i *instance) all() map[string][]run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.runs)
}

// sendHeartbeats sends pings until the instance is stopped.
func (i *instance) sendHeartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		i.send(i.ping("ready"))
		select {
		case <-i.stopped:
			return
		case <-ticker.C:
		}
	}
}

// ping returns the body of the next ping.
func (i *instance) ping(state string) []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": i.machine.service, "address": i.machine.address(portApp), "zone": i.machine.zone, "version": "v1", "slots": slots,
		"state": state, "coldLeftMs": 0, "sequence": i.sequence, "born": i.born,
	})
	return body
}

// send sends a ping and reports whether it was acknowledged within a second.
func (i *instance) send(body []byte) bool { return i.post("heartbeat", body) }

// deregister reports whether the deregistration was acknowledged within a second.
func (i *instance) deregister() bool { return i.post("deregister", nil) }

func (i *instance) post(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+i.machine.address(portControl)+"/api/instances/"+i.id+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// stop ends the pings.
func (i *instance) stop() { i.once.Do(func() { close(i.stopped) }) }
