package agent

import (
	"sync"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// parents are the requests that run at targets of this VM, by id. Calls that targets make for them name that id.
type parents struct {
	mu      sync.Mutex
	running map[string]parent
}

type parent struct {
	repeated   bool
	rank       int
	callFailed bool
}

// Repeated reports whether the request runs here as a repeat.
func (a *Agent) Repeated(id string) bool {
	a.parents.mu.Lock()
	defer a.parents.mu.Unlock()
	return a.parents.running[id].repeated
}

// Rank returns the rank of the request; ok is false when it does not run here.
func (a *Agent) Rank(id string) (rank int, ok bool) {
	a.parents.mu.Lock()
	defer a.parents.mu.Unlock()
	p, ok := a.parents.running[id]
	return p.rank, ok
}

// CallFailed notes that a call of the running request was not served.
func (a *Agent) CallFailed(id string) {
	a.parents.mu.Lock()
	defer a.parents.mu.Unlock()
	if p, runs := a.parents.running[id]; runs {
		p.callFailed = true
		a.parents.running[id] = p
	}
}

func (p *parents) begin(id string, class relay.Class) {
	if id == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = make(map[string]parent)
	}
	p.running[id] = parent{repeated: class.Repeat, rank: class.Rank}
}

// end forgets the request and reports whether one of its calls was not served.
func (p *parents) end(id string) (callFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	callFailed = p.running[id].callFailed
	delete(p.running, id)
	return callFailed
}
