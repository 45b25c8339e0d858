package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// drainGrace is how long requests may still reach a target after a node acknowledged that the target is draining.
	drainGrace  = 2 * time.Second
	targetSlots = 3
)

// behavior is how a target responds to requests.
type behavior int

const (
	behaviorNormal behavior = iota
	behaviorFailing
	behaviorHanging
	behaviorShedding
	// behaviorAborting runs requests and closes the connection without a response.
	behaviorAborting
	behaviorCorrupting
	behaviorCount
)

// target is a stand-in for an application instance; the ledger of the harness records the requests that it runs.
type target struct {
	harness *harness
	node    *node
	server  *httptest.Server
	stopped chan struct{}

	mu        sync.Mutex
	proxy     *proxy
	crashed   bool
	id        string
	startedAt int64
	sequence  int
	behavior  behavior
	draining  bool
	// silent is set when the target has deregistered, so that it sends no more heartbeats.
	silent bool
	// drainAckedAt is when a node first acknowledged that this incarnation leaves.
	drainAckedAt time.Time
	// resetsUploads makes the target answer long requests early and reset their connections.
	resetsUploads bool
}

func newTarget(h *harness, n *node) (*target, error) {
	g := &target{harness: h, node: n, stopped: make(chan struct{})}
	g.server = httptest.NewServer(g)
	var err error
	if g.proxy, err = newProxy(strings.TrimPrefix(g.server.URL, "http://")); err != nil {
		return nil, err
	}
	g.newIncarnation()
	go g.sendHeartbeats()
	return g, nil
}

// newIncarnation resets the target and gives it a new instance id.
func (g *target) newIncarnation() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.harness.lastTargetID++
	g.id, g.startedAt = fmt.Sprintf("i-%d", g.harness.lastTargetID), time.Now().UnixMilli()
	g.sequence, g.behavior, g.draining, g.silent, g.drainAckedAt = 0, behaviorNormal, false, false, time.Time{}
}

func (g *target) setBehavior(b behavior) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behavior = b
}

// limit makes the target state a rate limit in its answers for some time.
func (g *target) limit(rate float64, during time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.harness.notices.limit(g.id, rate, during)
}

// drain announces that the target is draining; a new incarnation follows after the delay.
func (g *target) drain(delay time.Duration) {
	if !g.startLeaving(false) {
		return
	}
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		id := g.id
		g.mu.Unlock()
		_, _ = g.post("/api/instances/"+id+"/deregister", nil)
		g.newIncarnation()
	})
}

// startLeaving marks the target as leaving and reports whether it was not before.
func (g *target) startLeaving(silent bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.draining, g.silent = true, silent
	return true
}

// leave deregisters the target without draining and calls acked as soon as a node has acknowledged that. The target serves
// on, heartbeats that it sent before arrive after the delays, and a new incarnation follows after the last one.
func (g *target) leave(acked func(), delays []time.Duration) {
	late, id := g.heartbeat("ready")
	if !g.startLeaving(true) {
		return
	}
	for range 50 {
		if status, err := g.post("/api/instances/"+id+"/deregister", nil); err == nil && status == http.StatusOK {
			g.acknowledged(id)
			acked()
			break
		}
		time.Sleep(heartbeatInterval / 3)
	}
	for _, delay := range delays {
		time.Sleep(delay)
		_, _ = g.post("/api/instances/"+id+"/heartbeat", late) // The node may be down.
	}
	time.Sleep(drainGrace)
	g.newIncarnation()
}

// acknowledged records the first acknowledgement that the instance leaves.
func (g *target) acknowledged(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.id == id && g.drainAckedAt.IsZero() {
		g.drainAckedAt = time.Now()
	}
}

// heartbeat returns the next heartbeat and the instance id; an empty state stands for the current one.
func (g *target) heartbeat(state string) (body []byte, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	if state == "" {
		if state = "ready"; g.draining {
			state = "draining"
		}
	}
	body, _ = json.Marshal(map[string]any{
		"service": g.node.service, "address": g.proxy.address(), "zone": g.node.domain, "version": "v", "slots": targetSlots,
		"state": state, "sequence": g.sequence, "born": g.startedAt,
	})
	return body, g.id
}

func (g *target) isLeaving() (draining, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining, g.silent
}

func (g *target) close() {
	close(g.stopped)
	g.path().close()
	g.server.CloseClientConnections()
	g.server.Close()
}

func (g *target) sendHeartbeats() {
	for {
		select {
		case <-g.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
		draining, silent := g.isLeaving()
		if silent || g.isDown() {
			continue
		}
		body, id := g.heartbeat("")
		if status, err := g.post("/api/instances/"+id+"/heartbeat", body); err == nil && status == http.StatusOK && draining {
			g.acknowledged(id)
		}
	}
}

func (g *target) post(path string, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+g.node.address(portLocal)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}

// ServeHTTP runs a request according to the behavior of the target.
func (g *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Auburnwinch-Request-Id")
	g.mu.Lock()
	instance, current, ackedAt, draining := g.id, g.behavior, g.drainAckedAt, g.draining && !g.silent
	resetsUploads := g.resetsUploads
	g.mu.Unlock()
	w.Header().Set("Auburnwinch-Request-Id", id)
	if r.Header.Get("Auburnwinch-Expect-Instance") != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	g.checkAccount(r, id)
	if resetsUploads && r.ContentLength == uploadBytes {
		g.resetUpload(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // An incomplete request is not run.
	}
	g.harness.notices.state(w.Header(), instance, id, draining)
	g.harness.ledger.requestArrived(g.node.service, id)
	if current == behaviorShedding && rand.IntN(2) == 0 {
		w.Header().Set("Auburnwinch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !ackedAt.IsZero() && time.Since(ackedAt) > drainGrace {
		g.harness.addViolation("request %s reached the draining target %s %s after the drain was acknowledged", id, instance, time.Since(ackedAt))
	}
	g.harness.ledger.requestRan(id)
	if strings.HasPrefix(r.RequestURI, poisonPath) {
		g.harness.poison.arrived()
		time.AfterFunc(crashDelay, g.crash)
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(5+rand.IntN(40)) * time.Millisecond)
	g.respond(w, r, current, id, body)
}

func (g *target) respond(w http.ResponseWriter, r *http.Request, b behavior, id string, body []byte) {
	if rand.IntN(10) == 0 {
		b = behaviorNormal
	}
	w.Header().Set("Auburnwinch-Server-Seal", "seal-"+id)
	full := expectedBody(r.Method, r.RequestURI, id, string(body))
	if strings.HasPrefix(r.RequestURI, pausePath) {
		_, _ = io.WriteString(w, full[:len(full)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(answerPause)
		_, _ = io.WriteString(w, full[len(full)/2:])
		return
	}
	switch b {
	case behaviorFailing:
		w.WriteHeader(http.StatusInternalServerError)
	case behaviorHanging:
		<-r.Context().Done()
	case behaviorAborting:
		panic(http.ErrAbortHandler)
	case behaviorCorrupting:
		switch rand.IntN(4) {
		case 0:
			w.Header().Set("Content-Length", fmt.Sprint(len(full)))
			_, _ = io.WriteString(w, full[:len(full)/2])
			panic(http.ErrAbortHandler)
		case 1:
			w.Header().Set("Auburnwinch-Request-Id", "another")
			_, _ = io.WriteString(w, "the answer of another request")
		case 2:
			// Chunked, so that only the missing last chunk shows that the response was truncated.
			_, _ = io.WriteString(w, full[:len(full)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			w.Header().Del("Auburnwinch-Server-Seal")
			_, _ = io.WriteString(w, "unsigned")
		}
	default:
		_, _ = io.WriteString(w, full)
	}
}

// expectedBody returns the response body for a request; it is long enough to arrive in several reads.
func expectedBody(method, uri, id, body string) string {
	if len(body) == uploadBytes {
		// Its reader is still busy when the connection is reset.
		return strings.Repeat(method+" "+uri+" "+id+" an upload\n", 6000)
	}
	return strings.Repeat(method+" "+uri+" "+id+" "+body+"\n", 200)
}
