package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// limitStable is how long after the first answer with a rate limit the requests at its target count.
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// passDelay is how long after it has passed on an answer with a limit the requests of a node count.
	passDelay = 500 * time.Millisecond
	// headerInstance names the instance that answered, for the caller that checks what the node has passed on.
	headerInstance = "Soak-Instance"
)

// notices records what targets have stated in their answers, which nodes have passed it on, and the requests that reached the
// targets meanwhile.
type notices struct {
	mu sync.Mutex
	// statements and leaving are by instance, sent by request id.
	statements map[string]*statement
	leaving    map[string][]limitArrival
	sent       map[string]time.Time
	// passedOn holds when a node has first passed on an answer of an instance, since the node was last disturbed.
	passedOn map[passKey]time.Time
}

// statement is a rate limit that an instance states for some time, and the requests that reached it.
type statement struct {
	rate     float64
	first    time.Time
	until    time.Time
	arrivals []limitArrival
}

type passKey struct {
	node, instance string
	leaving        bool
}

// limitArrival is a request at an instance; told is when its node has passed on what the instance states, or zero.
type limitArrival struct {
	id       string
	at, told time.Time
}

func newNotices() *notices {
	return &notices{
		statements: make(map[string]*statement), leaving: make(map[string][]limitArrival), sent: make(map[string]time.Time),
		passedOn: make(map[passKey]time.Time),
	}
}

// state adds what the instance states to the headers of an answer, and records the request.
func (n *notices) state(h http.Header, instance, id string, draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	h.Set(headerInstance, instance)
	node := nodeOf(id)
	if draining {
		h.Set("Server-Leaving", "1")
		n.leaving[instance] = append(n.leaving[instance], limitArrival{id: id, at: now, told: n.passedOn[passKey{node, instance, true}]})
	}
	s := n.statements[instance]
	if s == nil || now.After(s.until) {
		return
	}
	h.Set("Server-Limit", strconv.FormatFloat(s.rate, 'f', -1, 64))
	if s.first.IsZero() {
		s.first = now
	}
	s.arrivals = append(s.arrivals, limitArrival{id: id, at: now, told: n.passedOn[passKey{node, instance, false}]})
}

// limit makes the instance state a rate limit for some time, unless it does so already.
func (n *notices) limit(instance string, rate float64, during time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.statements[instance] == nil {
		n.statements[instance] = &statement{rate: rate, until: time.Now().Add(during)}
	}
}

// requestSent records when the caller sent a request.
func (n *notices) requestSent(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[id] = time.Now()
}

// answerReceived records what the node of the caller has passed on.
func (n *notices) answerReceived(id string, h http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for header, leaving := range map[string]bool{"Server-Limit": false, "Server-Leaving": true} {
		key := passKey{nodeOf(id), h.Get(headerInstance), leaving}
		if _, known := n.passedOn[key]; !known && h.Get(header) != "" {
			n.passedOn[key] = time.Now()
		}
	}
}

// disturb excuses a node that was restarted or paused until it passes on an answer again.
func (n *notices) disturb(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key := range n.passedOn {
		if key.node == node {
			delete(n.passedOn, key)
		}
	}
}

// check returns the targets that got more requests than their limit allows, and the requests that reached a target that
// leaves through a node that had passed this on.
func (n *notices) check() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var violations []string
	for instance, s := range n.statements {
		if most, bound := s.busiest(), int(limitFactor*limitWindow.Seconds()*s.rate)+limitExtra; most > bound {
			violations = append(violations, fmt.Sprintf("%s got %d requests in %s, its limit of %g a second allows %d", instance, most, limitWindow, s.rate, bound))
		}
	}
	for instance, arrivals := range n.leaving {
		for _, a := range arrivals {
			if !a.told.IsZero() && n.sent[a.id].Sub(a.told) > drainGrace {
				violations = append(violations, fmt.Sprintf("request %s reached %s, sent %s after its node had passed on that it leaves", a.id, instance, n.sent[a.id].Sub(a.told)))
			}
		}
	}
	return violations
}

// busiest returns the most requests in any window from nodes that had passed on the limit.
func (s *statement) busiest() int {
	most := 0
	for i, first := range s.arrivals {
		if first.at.Sub(s.first) < limitStable {
			continue
		}
		count := 0
		for _, a := range s.arrivals[i:] {
			if a.at.Sub(first.at) < limitWindow && !a.told.IsZero() && a.at.Sub(a.told) >= passDelay {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// nodeOf returns the name of the node through which a caller sent the request.
func nodeOf(id string) string {
	parts := strings.SplitN(id, "-", 3) // node-3-...
	return strings.Join(parts[:min(2, len(parts))], "-")
}
