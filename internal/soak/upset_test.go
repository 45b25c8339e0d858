package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/platform/fake"
)

const (
	// uploadBytes far exceeds the buffers between two processes; one order in uploadShare has such a body.
	uploadBytes = 4 << 20
	uploadShare = 40
	// crashDelay is the time after which a poison request crashes its target, and downTime the time until a crashed target
	// is back.
	crashDelay = 250 * time.Millisecond
	downTime   = 500 * time.Millisecond
	poisonPath = "/order/poison"
	// answerPause is longer than the silence for which a path between nodes is tolerated.
	answerPause = 2300 * time.Millisecond
	pausePath   = "/pause/"
)

var upload = strings.Repeat("u", uploadBytes)

// poison records when a poison request arrived at targets.
type poison struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (p *poison) arrived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, time.Now())
}

// late returns the arrivals that came longer than the time after the third crash, and all of them.
func (p *poison) late(after time.Duration) (late, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		if len(p.arrivals) >= 3 && at.Sub(p.arrivals[2].Add(crashDelay)) > after {
			late++
		}
	}
	return late, len(p.arrivals)
}

// uploads reports whether the order has a long body.
func (c *callers) uploads(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Writing to a hash never fails.
	return h.Sum32()%uploadShare == 0
}

// upset starts one of the disruptions that earlier faults went unnoticed under.
func (f *faultInjector) upset() {
	n, kind := f.harness.nodes[f.upsets.IntN(len(f.harness.nodes))], f.upsets.IntN(8)
	share, duration := f.upsets.Float64(), time.Duration(500+f.upsets.IntN(2500))*time.Millisecond
	name := ""
	switch kind {
	case 0:
		name = fmt.Sprintf("lost responses %.2f", share)
		f.harness.store.SetLost(func(fake.Call) bool { return rand.Float64() < share })
		time.AfterFunc(duration, func() { f.harness.store.SetLost(nil) })
	case 1, 2:
		name = "reset uploads of " + n.name
		n.target.setResetsUploads(true)
		time.AfterFunc(duration, func() { n.target.setResetsUploads(false) })
	case 3:
		name = "crash of " + n.name
		n.target.crash()
	default:
		return
	}
	f.injected = append(f.injected, name)
}

func (g *target) setResetsUploads(resets bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetsUploads = resets
}

// resetUpload reads the start of a request, answers without a length and resets the connection in the middle of the body.
func (g *target) resetUpload(w http.ResponseWriter, r *http.Request, id string) {
	g.harness.ledger.requestArrived(g.node.service, id)
	g.harness.ledger.requestRan(id)
	_, _ = io.CopyN(io.Discard, r.Body, uploadBytes/8)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	full := expectedBody(r.Method, r.RequestURI, id, upload)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: %s\r\nAuburnwinch-Server-Seal: seal-%s\r\n\r\n%s", id, id, full[:len(full)/2])
	time.Sleep(2 * time.Millisecond) // The head arrives before the reset.
	g.path().reset(conn.RemoteAddr())
	_ = conn.Close()
}

// path returns the proxy in front of the target.
func (g *target) path() *proxy {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proxy
}

func (g *target) isDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashed
}

// crash ends the target with all its connections; it is back after downTime under another address and id.
func (g *target) crash() {
	g.mu.Lock()
	died := g.proxy
	again := g.crashed
	g.crashed = true
	g.mu.Unlock()
	if again {
		return
	}
	died.close()
	time.AfterFunc(downTime, func() {
		next, err := newProxy(died.upstream)
		if err != nil {
			g.harness.addViolation("the target of %s could not be started again: %v", g.node.name, err)
			return
		}
		g.newIncarnation()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.proxy, g.crashed = next, false
	})
}
