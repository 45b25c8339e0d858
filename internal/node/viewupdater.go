package node

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// viewInterval bounds how often the view is rebuilt. When a failure domain fails, a hundred records change within a
// second; the request path needs only the latest state.
const viewInterval = 20 * time.Millisecond

// configSource provides the configuration in force; ticket.Syncer implements it.
type configSource interface {
	Configuration() *model.Configuration
	Ready() bool
}

// viewUpdater rebuilds the view after changes of membership or configuration. It sleeps until wake is raised.
type viewUpdater struct {
	self        model.Node
	clock       timer.Service
	source      configSource
	applyRoutes func(*model.Configuration)
	publish     func(*view.View)
	// wake is raised after each change of the source.
	wake notify.Signal

	mu      sync.Mutex
	builder *view.Builder
	members *member.Snapshot
	number  uint64
	changed bool

	stop  chan struct{}
	group conc.WaitGroup
}

func newViewUpdater(v *viewUpdater) *viewUpdater {
	v.stop = make(chan struct{})
	v.builder = view.NewBuilder(v.self)
	v.group.Go(v.run)
	return v
}

// setMembers sets a new membership. If only ticket numbers differ, the view is not rebuilt: each ticket causes a dozen
// such snapshots.
func (v *viewUpdater) setMembers(s *member.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.members == nil || v.members.Generation != s.Generation {
		v.changed = true
		v.wake.Raise()
	}
	v.members = s
}

// refresh publishes the view if anything changed. A starting node waits until it has compared its sources, so that it
// never serves with an older configuration than its peers.
func (v *viewUpdater) refresh() {
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
		v.applyRoutes(c)
	}
	invar.Check(c.Number >= v.number, "node", "configuration went from %d to %d", v.number, c.Number)
	v.number = c.Number
	v.changed = false
	v.publish(v.builder.Build(c, nodeStates(v.members)))
}

func (v *viewUpdater) close() {
	close(v.stop)
	v.group.Wait()
}

func (v *viewUpdater) run() {
	for {
		select {
		case <-v.stop:
			return
		case <-v.wake:
			v.refresh()
			v.waitInterval()
		}
	}
}

// waitInterval waits for viewInterval, so that the changes in it are handled together.
func (v *viewUpdater) waitInterval() {
	ticks := v.clock.Subscribe(viewInterval)
	defer ticks.Stop()
	select {
	case <-v.stop:
	case <-ticks.C:
	}
}
