package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/quota"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fleetState holds what the node knows about the fleet: the configuration and the records of all nodes. It is updated
// as rows arrive and published to the request path as one immutable view.
type fleetState struct {
	self   model.Node
	clock  timer.Service
	logger log.Logger
	decode func(roster.Row) (*OperatorConfig, error)
	picker *picker.Picker
	guard  *poisonGuard
	edge   *edge.Edge
	quotas *quota.Client
	view   view.Holder
	limits atomic.Pointer[Limits]
	number atomic.Uint64
	// heard is the highest configuration number of another node.
	heard atomic.Uint64
	// keys holds the client accounts.
	keys keyring
	// fetch asks other nodes for a newer configuration, one call at a time.
	fetch         func(context.Context) (roster.Row, error)
	fetching      atomic.Bool
	introductions introductions
	// numberChanged is called when a newer configuration is in force, and confirmed when the one in force has been confirmed.
	numberChanged, confirmed func()
	// refresh makes the configuration watcher query the store again, rate-limited by backoff.
	refresh atomic.Pointer[func()]
	backoff refreshBackoff
	// ready is set once both configuration and members are known.
	ready atomic.Bool

	mu           sync.Mutex
	builder      *view.Builder
	members      *roster.Members
	membersKnown bool
	config       *OperatorConfig
	// row holds the configuration in force as the store has it.
	row roster.Row
	// configuredAt and membersAt are the times of the last updates.
	configuredAt time.Time
	membersAt    time.Time
}

// applyMembers applies rows of the nodes table.
func (b *fleetState) applyMembers(p roster.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed, errs := b.members.Apply(p)
	for _, err := range errs {
		_ = level.Warn(b.logger).Log("msg", "row ignored", "err", err)
	}
	for _, record := range changed {
		b.guard.merge(record.Crashes)
	}
	b.membersKnown, b.membersAt = true, b.clock.Now()
	_ = level.Info(b.logger).Log("msg", "members changed", "version", p.Version, "rows", len(p.Rows), "whole", p.Whole, "nodes", b.members.Len())
	b.publishView()
	b.quotas.SetNodes(b.members.Serving())
}

// applyConfiguration applies rows of the operator's table and ignores a configuration that is not newer.
func (b *fleetState) applyConfiguration(p roster.Page) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range p.Rows {
		config, err := b.decode(row)
		if err != nil {
			_ = level.Error(b.logger).Log("msg", "configuration rejected", "row-version", row.Version, "err", err)
			continue
		}
		if config == nil || config.Configuration.Number <= b.number.Load() {
			continue
		}
		b.install(config, row)
	}
}

// install puts a newer configuration in force unless its routes are invalid.
func (b *fleetState) install(config *OperatorConfig, row roster.Row) {
	table, err := router.New(&config.Configuration)
	if err != nil {
		_ = level.Error(b.logger).Log("msg", "configuration rejected", "number", config.Configuration.Number, "err", err)
		return
	}
	accounts, err := access.NewTable(config.Accounts)
	if err != nil {
		_ = level.Error(b.logger).Log("msg", "configuration rejected", "number", config.Configuration.Number, "err", err)
		return
	}
	unconfirmed := time.Duration(0)
	if at := b.ConfirmedAt(); !at.IsZero() {
		unconfirmed = b.clock.Now().Sub(at)
	}
	before := b.number.Swap(config.Configuration.Number)
	invar.Check(before < config.Configuration.Number, "hosted", "configuration went from %d to %d", before, config.Configuration.Number)
	b.config, b.row, b.configuredAt = config, row, b.clock.Now()
	b.limits.Store(&config.Limits)
	b.quotas.SetAccounts(config.Accounts)
	b.publishView()
	b.keys.Store(accounts) // Before the routes, so that a new route finds the keys that came with it.
	b.edge.SetRoutes(table)
	b.numberChanged()
	_ = level.Info(b.logger).Log("msg", "configuration in force", "number", config.Configuration.Number, "before", before,
		"row-version", row.Version, "unconfirmed-for", unconfirmed, "services", len(config.Configuration.Services), "routes", table.Len(), "accounts", accounts.Accounts())
}

func (b *fleetState) publishView() {
	if b.config == nil {
		return
	}
	v := b.builder.Build(&b.config.Configuration, b.members.NodeStates())
	b.picker.SetView(v)
	b.view.Store(v)
	if b.membersKnown && !b.ready.Swap(true) {
		_ = level.Info(b.logger).Log("msg", "ready", "number", b.number.Load(), "nodes", b.members.Len())
	}
}

// Number returns the number of the configuration in force.
func (b *fleetState) Number() uint64 {
	return b.number.Load()
}

// Observe handles the configuration number reported by another node. A newer configuration is in the store, whose
// response may have been lost.
func (b *fleetState) Observe(number uint64) {
	if number <= b.number.Load() {
		return
	}
	for heard := b.heard.Load(); number > heard && !b.heard.CompareAndSwap(heard, number); heard = b.heard.Load() {
	}
	if delay, due := b.backoff.schedule(b.clock.Now(), number); due {
		time.AfterFunc(delay, func() { b.refreshUnless(number) })
	}
}

// ObserveAt handles the configuration number reported by a node. One without a configuration may not reach the store, and
// then knows no other node.
func (b *fleetState) ObserveAt(node model.Node, number uint64) {
	if b.Observe(number); number == 0 && b.number.Load() > 0 {
		b.introductions.start(b.clock.Now(), node)
	}
}

// Behind reports whether another node has a newer configuration.
func (b *fleetState) Behind() bool {
	return b.heard.Load() > b.number.Load()
}

// refreshUnless asks the store again, and then other nodes, unless the configuration has arrived meanwhile.
func (b *fleetState) refreshUnless(number uint64) {
	if known := b.number.Load(); known < number {
		_ = level.Info(b.logger).Log("msg", "another node has a newer configuration", "number", known, "heard", number)
		b.refreshConfiguration()
		time.Sleep(storeAnswerTime)
		if b.number.Load() < number {
			b.fetchConfiguration()
		}
	}
}

func (b *fleetState) refreshConfiguration() {
	if refresh := b.refresh.Load(); refresh != nil {
		(*refresh)()
	}
}

// ages returns the time since the last updates of the configuration and the members.
func (b *fleetState) ages() (configuration, members time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.config != nil {
		configuration = now.Sub(b.configuredAt)
	}
	if b.membersKnown {
		members = now.Sub(b.membersAt)
	}
	return configuration, members
}
