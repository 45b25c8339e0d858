package node

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// viewInterval bounds how often the view is rebuilt. When a failure domain goes, a hundred records change within a
// second; the request path needs only the latest state.
const viewInterval = 20 * time.Millisecond

// viewer rebuilds the view after changes of membership or configuration.
type viewer struct {
	self    model.Node
	clock   timer.Service
	publish func(*view.View)

	mu            sync.Mutex
	members       *member.Snapshot
	configuration *model.Configuration
	changed       bool

	stop  chan struct{}
	group conc.WaitGroup
}

func newViewer(self model.Node, clock timer.Service, publish func(*view.View)) *viewer {
	v := &viewer{self: self, clock: clock, publish: publish, stop: make(chan struct{})}
	v.group.Go(v.run)
	return v
}

func (v *viewer) setMembers(s *member.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = s
	v.changed = true
}

func (v *viewer) setConfiguration(c *model.Configuration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configuration = c
	v.changed = true
}

// refresh publishes the view at once if anything changed.
func (v *viewer) refresh() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.changed || v.configuration == nil || v.members == nil {
		return
	}
	v.changed = false
	v.publish(buildView(v.self, v.configuration, v.members))
}

func (v *viewer) close() {
	close(v.stop)
	v.group.Wait()
}

func (v *viewer) run() {
	ticks := v.clock.Subscribe(viewInterval)
	defer ticks.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-ticks.C:
			v.refresh()
		}
	}
}
