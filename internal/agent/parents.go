package agent

import (
	"sync"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// parents are the requests that run at targets of this VM, by id. Downstream calls that targets make for them carry
// that id.
type parents struct {
	mu      sync.Mutex
	running map[string]parent
}

type parent struct {
	relay.Parent
	callFailed bool
}

// Parent returns the running request with the id; ok is false when it does not run here.
func (a *Agent) Parent(id string) (p relay.Parent, ok bool) {
	a.parents.mu.Lock()
	defer a.parents.mu.Unlock()
	running, ok := a.parents.running[id]
	return running.Parent, ok
}

// CallEnded records whether a downstream call of the running request was served.
func (a *Agent) CallEnded(id string, served bool) {
	a.parents.mu.Lock()
	defer a.parents.mu.Unlock()
	p, runs := a.parents.running[id]
	if !runs {
		return
	}
	p.HasProgress = p.HasProgress || served
	p.callFailed = p.callFailed || !served
	a.parents.running[id] = p
}

func (p *parents) begin(id, account string, class relay.Class) {
	if id == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = make(map[string]parent)
	}
	p.running[id] = parent{Parent: relay.Parent{Rank: class.Rank, Retry: class.Retry, Account: account}}
}

// end removes the request and reports whether one of its calls was not served.
func (p *parents) end(id string) (callFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	callFailed = p.running[id].callFailed
	delete(p.running, id)
	return callFailed
}
