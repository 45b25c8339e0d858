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
	heartbeatEvery = 300 * time.Millisecond
	// drainBound is the time after an acknowledged leave within which requests may still reach the target.
	drainBound  = 2 * time.Second
	targetSlots = 3
)

// mood is how a target behaves.
type mood int

const (
	moodSound mood = iota
	moodFailing
	moodHanging
	moodShedding
	// moodMute runs requests and breaks off without an answer.
	moodMute
	moodGarbling
	moods
)

// target is the stand-in of an application instance. Its runs are kept by the ledger of the world.
type target struct {
	world   *world
	node    *node
	server  *httptest.Server
	proxy   *proxy
	stopped chan struct{}

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	mood     mood
	draining bool
	ackedAt  time.Time
}

func newTarget(w *world, n *node) (*target, error) {
	g := &target{world: w, node: n, stopped: make(chan struct{})}
	g.server = httptest.NewServer(g)
	var err error
	if g.proxy, err = newProxy(strings.TrimPrefix(g.server.URL, "http://")); err != nil {
		return nil, err
	}
	g.reborn()
	go g.beat()
	return g, nil
}

// reborn starts a new run of the target under a new id.
func (g *target) reborn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.world.lastTarget++
	g.id, g.born = fmt.Sprintf("i-%d", g.world.lastTarget), time.Now().UnixMilli()
	g.sequence, g.mood, g.draining, g.ackedAt = 0, moodSound, false, time.Time{}
}

func (g *target) setMood(m mood) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mood = m
}

// drain says that the target leaves; a new run follows after the time.
func (g *target) drain(after time.Duration) {
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return
	}
	g.draining = true
	g.mu.Unlock()
	time.AfterFunc(after, func() {
		g.mu.Lock()
		id := g.id
		g.mu.Unlock()
		_, _ = g.post("/api/instances/"+id+"/deregister", nil)
		g.reborn()
	})
}

func (g *target) close() {
	close(g.stopped)
	g.proxy.close()
	g.server.CloseClientConnections()
	g.server.Close()
}

func (g *target) beat() {
	for {
		select {
		case <-g.stopped:
			return
		case <-time.After(heartbeatEvery):
		}
		g.mu.Lock()
		g.sequence++
		id, state := g.id, "ready"
		if g.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": g.node.service, "address": g.proxy.address(), "zone": g.node.domain, "version": "v", "slots": targetSlots,
			"state": state, "sequence": g.sequence, "born": g.born,
		})
		g.mu.Unlock()
		status, err := g.post("/api/instances/"+id+"/heartbeat", body)
		g.mu.Lock()
		if err == nil && status == http.StatusOK && state == "draining" && g.id == id && g.ackedAt.IsZero() {
			g.ackedAt = time.Now()
		}
		g.mu.Unlock()
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

// ServeHTTP runs a request as the mood says.
func (g *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Auburnwinch-Request-Id")
	g.mu.Lock()
	self, mood, acked := g.id, g.mood, g.ackedAt
	g.mu.Unlock()
	if r.Header.Get("Auburnwinch-Expect-Instance") != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request is not whole, so it does not run.
	}
	w.Header().Set("Auburnwinch-Request-Id", id)
	g.world.ledger.arrived(g.node.service, id)
	if mood == moodShedding && rand.IntN(2) == 0 {
		w.Header().Set("Auburnwinch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !acked.IsZero() && time.Since(acked) > drainBound {
		g.world.find("request %s reached the draining target %s %s after its leave was acknowledged", id, self, time.Since(acked))
	}
	g.world.ledger.ran(id)
	time.Sleep(time.Duration(5+rand.IntN(40)) * time.Millisecond)
	g.answer(w, r, mood, id, body)
}

func (g *target) answer(w http.ResponseWriter, r *http.Request, mood mood, id string, body []byte) {
	if rand.IntN(10) == 0 {
		mood = moodSound
	}
	w.Header().Set("Auburnwinch-Server-Seal", "seal-"+id)
	whole := answerTo(r.Method, r.RequestURI, id, string(body))
	switch mood {
	case moodFailing:
		w.WriteHeader(http.StatusInternalServerError)
	case moodHanging:
		<-r.Context().Done()
	case moodMute:
		panic(http.ErrAbortHandler)
	case moodGarbling:
		switch rand.IntN(4) {
		case 0:
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			_, _ = io.WriteString(w, whole[:len(whole)/2])
			panic(http.ErrAbortHandler)
		case 1:
			w.Header().Set("Auburnwinch-Request-Id", "another")
			_, _ = io.WriteString(w, "the answer of another request")
		case 2:
			// In chunks, so that only the missing last one tells that the answer broke off.
			_, _ = io.WriteString(w, whole[:len(whole)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			w.Header().Del("Auburnwinch-Server-Seal")
			_, _ = io.WriteString(w, "unsigned")
		}
	default:
		_, _ = io.WriteString(w, whole)
	}
}

// answerTo is the whole answer to a request; it is long enough to come in several pieces.
func answerTo(method, uri, id, body string) string {
	return strings.Repeat(method+" "+uri+" "+id+" "+body+"\n", 200)
}
