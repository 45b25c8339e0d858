package node

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/internal/wake"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// viewInterval bounds how often the view is rebuilt. When a failure domain goes, a hundred records change within a
// second; the request path needs only the latest state.
const viewInterval = 20 * time.Millisecond

// configurations tells the configuration in force; ticket.Keeper implements it.
type configurations interface {
	Configuration() *model.Configuration
	Ready() bool
}

// viewer rebuilds the view after changes of membership or configuration. It sleeps until wake is raised.
type viewer struct {
	self    model.Node
	clock   timer.Service
	source  configurations
	route   func(*model.Configuration)
	publish func(*view.View)
	// wake is raised after each change of the source.
	wake wake.Signal

	mu      sync.Mutex
	builder *view.Builder
	members *member.Snapshot
	number  uint64
	changed bool

	stop  chan struct{}
	group conc.WaitGroup
}

func newViewer(v *viewer) *viewer {
	v.stop = make(chan struct{})
	v.builder = view.NewBuilder(v.self)
	v.group.Go(v.run)
	return v
}

// setMembers takes a new membership. One that differs only in ticket numbers leaves the view as it is: each ticket
// brings a dozen such snapshots.
func (v *viewer) setMembers(s *member.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.members == nil || v.members.Generation != s.Generation {
		v.changed = true
		v.wake.Raise()
	}
	v.members = s
}

// refresh publishes the view if anything changed. A starting node waits until it has compared its sources, so that it
// never serves on an older configuration than its peers.
func (v *viewer) refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.members == nil || !v.source.Ready() {
		return
	}
	c := v.source.Configuration()
	if c.Number == 0 || (!v.changed && c.Number == v.number) {
		return
	}
	if c.Number > v.number {
		v.route(c)
	}
	invar.Check(c.Number >= v.number, "node", "configuration went from %d to %d", v.number, c.Number)
	v.number = c.Number
	v.changed = false
	v.publish(v.builder.Build(c, partsOf(v.members)))
}

func (v *viewer) close() {
	close(v.stop)
	v.group.Wait()
}

func (v *viewer) run() {
	for {
		select {
		case <-v.stop:
			return
		case <-v.wake:
			v.refresh()
			v.pause()
		}
	}
}

// pause groups the changes of the next interval.
func (v *viewer) pause() {
	ticks := v.clock.Subscribe(viewInterval)
	defer ticks.Stop()
	select {
	case <-v.stop:
	case <-ticks.C:
	}
}
