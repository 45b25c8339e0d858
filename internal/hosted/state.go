package hosted

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// beliefs are what the node knows of the fleet: the configuration and the records of all nodes. They are replaced as rows
// arrive, and published to the request path as one view.
type beliefs struct {
	self   model.Node
	clock  timer.Service
	logger log.Logger
	decode func(roster.Row) (*OperatorConfig, error)
	picker *picker.Picker
	guard  *guard
	edge   *edge.Edge
	view   view.Holder
	limits atomic.Pointer[Limits]
	number atomic.Uint64
	// lookAgain makes the watch of the configuration call the store anew, as often as looks permits.
	lookAgain atomic.Pointer[func()]
	looks     looks
	// ready tells that configuration and members are known.
	ready atomic.Bool

	mu      sync.Mutex
	builder *view.Builder
	members *roster.Members
	known   bool
	desired *OperatorConfig
	// configuredAt and membersAt tell the age of what is known.
	configuredAt time.Time
	membersAt    time.Time
}

// takeMembers applies rows of the nodes' table.
func (b *beliefs) takeMembers(p roster.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed, errs := b.members.Apply(p)
	for _, err := range errs {
		_ = level.Warn(b.logger).Log("msg", "row ignored", "err", err)
	}
	for _, record := range changed {
		b.guard.hear(record.Crashes)
	}
	b.known, b.membersAt = true, b.clock.Now()
	_ = level.Info(b.logger).Log("msg", "members changed", "version", p.Version, "rows", len(p.Rows), "whole", p.Whole, "nodes", b.members.Len())
	b.publish()
}

// takeConfiguration applies rows of the operator's table; a configuration that is not newer changes nothing.
func (b *beliefs) takeConfiguration(p roster.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range p.Rows {
		desired, err := b.decode(row)
		if err != nil {
			_ = level.Error(b.logger).Log("msg", "configuration rejected", "row-version", row.Version, "err", err)
			continue
		}
		if desired == nil || desired.Configuration.Number <= b.number.Load() {
			continue
		}
		b.put(desired, row.Version)
	}
}

// put takes a newer configuration, unless its routes can't be built.
func (b *beliefs) put(desired *OperatorConfig, rowVersion uint64) {
	table, err := router.New(&desired.Configuration)
	if err != nil {
		_ = level.Error(b.logger).Log("msg", "configuration rejected", "number", desired.Configuration.Number, "err", err)
		return
	}
	before := b.number.Swap(desired.Configuration.Number)
	invar.Check(before < desired.Configuration.Number, "hosted", "configuration went from %d to %d", before, desired.Configuration.Number)
	b.desired, b.configuredAt = desired, b.clock.Now()
	b.limits.Store(&desired.Limits)
	b.publish()
	b.edge.SetRoutes(table)
	_ = level.Info(b.logger).Log("msg", "configuration in force", "number", desired.Configuration.Number, "before", before,
		"row-version", rowVersion, "services", len(desired.Configuration.Services), "routes", table.Len())
}

func (b *beliefs) publish() {
	if b.desired == nil {
		return
	}
	v := b.builder.Build(&b.desired.Configuration, b.members.NodeStates())
	b.picker.SetView(v)
	b.view.Store(v)
	if b.known && !b.ready.Swap(true) {
		_ = level.Info(b.logger).Log("msg", "ready", "number", b.number.Load(), "nodes", b.members.Len())
	}
}

// Number returns the number of the configuration in force.
func (b *beliefs) Number() uint64 {
	return b.number.Load()
}

// Observe takes the number that another node has in force. The newer one is in the store, whose answer may have been lost.
func (b *beliefs) Observe(number uint64) {
	if number <= b.number.Load() {
		return
	}
	if !b.looks.due(b.clock.Now(), number) {
		return
	}
	_ = level.Info(b.logger).Log("msg", "another node has a newer configuration", "number", b.number.Load(), "heard", number)
	if look := b.lookAgain.Load(); look != nil {
		(*look)()
	}
}

// ages returns how old the configuration and the members are.
func (b *beliefs) ages() (configuration, members time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.desired != nil {
		configuration = now.Sub(b.configuredAt)
	}
	if b.known {
		members = now.Sub(b.membersAt)
	}
	return configuration, members
}
