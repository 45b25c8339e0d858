package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// instance is a sound instance of a service. It runs any number of requests at once.
type instance struct {
	machine  *machine
	id       string
	born     int64
	slots    int
	work     atomic.Int64
	sequence atomic.Int64
	running  atomic.Int64

	server  *http.Server
	stopped chan struct{}
	stop    sync.Once
}

func newInstance(m *machine) (*instance, error) {
	m.boots++
	i := &instance{machine: m, id: fmt.Sprintf("i-%s-%d", m.name, m.boots), born: time.Now().UnixMilli(), slots: 7, stopped: make(chan struct{})}
	i.work.Store(int64(50 * time.Millisecond))
	listener, err := net.Listen("tcp", m.ip+":8301")
	if err != nil {
		return nil, err
	}
	i.server = &http.Server{Handler: i}
	go func() { _ = i.server.Serve(listener) }()
	go i.sendHeartbeats()
	return i, nil
}

// ServeHTTP runs a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Auburnwinch-Instance-Id", i.id)
		return
	}
	id := r.Header.Get("Auburnwinch-Request-Id")
	w.Header().Set("Auburnwinch-Request-Id", id)
	if expected := r.Header.Get("Auburnwinch-Expect-Instance"); expected != "" && expected != i.id {
		w.Header().Set("Auburnwinch-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		i.machine.fleet.record.printf("part   %s at %s: %d bytes, then %v", id, i.id, len(body), err)
		return
	}
	i.machine.fleet.addRun(run{at: time.Now(), id: id, instance: i.id, service: i.machine.service, method: r.Method, path: r.URL.RequestURI(), length: int64(len(body))})
	if strings.HasSuffix(r.URL.Path, "/poison") {
		time.Sleep(crashAfter) // It doesn't notice that its connection closes.
		i.crash()
		return
	}
	load := i.running.Add(1)
	defer i.running.Add(-1)
	select {
	case <-time.After(time.Duration(i.work.Load())):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Auburnwinch-Server-Seal", fmt.Sprintf("%x.%s", len(id), i.id))
	w.Header().Set("Auburnwinch-Server-Load", fmt.Sprintf("%d,0,%d", load, i.slots))
	_, _ = fmt.Fprintf(w, "%s of %s", id, i.machine.service)
}

// heartbeat returns the next heartbeat.
func (i *instance) heartbeat(state string) []byte {
	body, _ := json.Marshal(map[string]any{
		"service": i.machine.service, "address": i.machine.ip + ":8301", "zone": "norte-a", "version": "v1", "slots": i.slots,
		"state": state, "coldLeftMs": 0, "sequence": i.sequence.Add(1), "born": i.born,
	})
	return body
}

// post sends a call to the node beside the instance and reports whether it was acknowledged.
func (i *instance) post(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+i.machine.ip+":8306/api/instances/"+i.id+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		i.machine.fleet.record.printf("%s %s of %s: %v", call, body, i.id, err)
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if call != "heartbeat" {
		i.machine.fleet.record.printf("%s of %s: %d", call, i.id, response.StatusCode)
	}
	return response.StatusCode/100 == 2
}

func (i *instance) sendHeartbeats() {
	for {
		wait := heartbeatInterval
		if !i.post("heartbeat", i.heartbeat("ready")) {
			wait = 200 * time.Millisecond
		}
		select {
		case <-i.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// stopHeartbeats ends the regular heartbeats, since the instance leaves.
func (i *instance) stopHeartbeats() {
	i.stop.Do(func() { close(i.stopped) })
}

// crash ends the instance without a word. Another boot of it starts after downTime, with a new id.
func (i *instance) crash() {
	i.stopHeartbeats()
	_ = i.server.Close()
	m := i.machine
	m.fleet.record.printf("crash  of %s", i.id)
	time.AfterFunc(downTime, func() {
		if _, err := newInstance(m); err != nil {
			m.fleet.record.printf("the instance of %s can't start again: %v", m.name, err)
		}
	})
}

// deregister tells the node that the instance leaves, until it is acknowledged, and returns the time of the ack.
func (i *instance) deregister() (acked time.Time, err error) {
	for range 10 {
		if i.post("deregister", nil) {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errNotReady
}
