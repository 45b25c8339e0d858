package feed

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// peerWait is how long one call to a node waits for changes. It bounds the time for which a frozen node hides them.
	peerWait = 2 * time.Second
	// storeWait is how long one call to the store waits for changes. It bounds the time for which a call that the store has
	// forgotten hides them from a whole failure domain.
	storeWait = 5 * time.Second
	// startWait is how long a starting node waits for one that starts with it and will read the store; startPause is the time
	// between two looks.
	startWait  = 700 * time.Millisecond
	startPause = 100 * time.Millisecond
	// defaultSettle groups the changes of nodes that start or stop together into one answer of the store.
	defaultSettle = time.Second
)

// Store is the table as the store serves it; the nodes of a failure domain have their rows in a part of its name.
type Store interface {
	roster.Table
	// ReadPartition returns the rows of one part.
	ReadPartition(ctx context.Context, part string) (roster.Page, error)
}

// Configurations tells which configuration is in force.
type Configurations interface {
	Number() uint64
	// Observe takes the number that another node has in force.
	Observe(number uint64)
}

// errNoSource means that all sources have failed a moment ago.
var errNoSource = eris.New("neither the store nor a node of the failure domain has answered; they are asked again soon")

type dialFunc = relay.DialFunc

// Config constructs a table; Store, Self and Domain are required.
type Config struct {
	Store Store
	// Self is the key of this node's row, and Domain the part that holds it.
	Self   string
	Domain string
	// OnDomainRows is called with the rows of the failure domain that a starting node reads first, straight from the store.
	OnDomainRows func(rows []roster.Row)
	// BatchDelay is the time between two calls to the store when the first one brought changes; default 1 s.
	BatchDelay     time.Duration
	Configurations Configurations
	Clock          timer.Service
	Dial           dialFunc
	Logger         log.Logger
}

// Table is a table of the store that is read through other nodes of the failure domain where that is possible. Writes go to
// the store.
type Table struct {
	config Config
	hub    *hub
	client client
	// storeCalls and peerCalls count the calls by where they went.
	storeCalls atomic.Int64
	peerCalls  atomic.Int64

	mu    sync.Mutex
	order *Order
	// settled is the earliest time of the next call to the store.
	settled time.Time
	// source is where the last rows came from.
	source Source
}

// NewTable returns a table that knows no other node yet.
func NewTable(c Config) *Table {
	if c.BatchDelay <= 0 {
		c.BatchDelay = defaultSettle
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return &Table{config: c, hub: newHub(), order: NewOrder(c.Self)}
}

// Read returns all rows, from another node if one is known or found in the part of the failure domain.
func (t *Table) Read(ctx context.Context) (roster.Page, error) {
	if !t.knowsPeers() {
		t.findPeers(ctx)
	}
	patient := t.config.Clock.Now().Add(startWait)
	return t.ask(ctx, func(s Source) (roster.Page, error) {
		if !s.Store {
			return t.readPeer(ctx, s.Peer, patient)
		}
		t.storeCalls.Add(1)
		return t.config.Store.Read(ctx)
	})
}

// Watch waits for rows that changed after the version.
func (t *Table) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	return t.ask(ctx, func(s Source) (roster.Page, error) {
		if !s.Store {
			return t.watchPeer(ctx, s.Peer, after, min(wait, peerWait))
		}
		if err := t.awaitSettled(ctx); err != nil {
			return roster.Page{}, err
		}
		t.storeCalls.Add(1)
		return t.config.Store.Watch(ctx, after, min(wait, storeWait))
	})
}

// Write stores the row.
func (t *Table) Write(ctx context.Context, row roster.Row, expected uint64) (uint64, error) {
	t.storeCalls.Add(1)
	return t.config.Store.Write(ctx, row, expected)
}

// StoreCalls returns the calls to the store so far.
func (t *Table) StoreCalls() int64 { return t.storeCalls.Load() }

// PeerCalls returns the calls to other nodes so far.
func (t *Table) PeerCalls() int64 { return t.peerCalls.Load() }

// StopServing refuses followers from now on, because the node leaves.
func (t *Table) StopServing() { t.hub.close() }

// Close ends the connection to the node that is followed; nobody may watch the table any more.
func (t *Table) Close() { t.client.close() }

// ask goes through the sources until one answers.
func (t *Table) ask(ctx context.Context, call func(Source) (roster.Page, error)) (roster.Page, error) {
	last := errNoSource
	for _, source := range t.sources() {
		page, err := call(source)
		if ctx.Err() != nil {
			return page, err
		}
		// The history is a matter of this node's version, not of the source.
		if err == nil || errors.Is(err, roster.ErrHistoryLost) {
			t.worked(source, page)
			return page, err
		}
		t.failed(source, err)
		last = err
	}
	return roster.Page{}, last
}

func (t *Table) sources() []Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.order.Sources(t.config.Clock.Now())
}

func (t *Table) watchPeer(ctx context.Context, p Peer, after uint64, wait time.Duration) (roster.Page, error) {
	// While this node follows another one, nobody should follow it.
	t.hub.stopReading()
	t.peerCalls.Add(1)
	reply, err := t.client.watch(ctx, t.config.Dial, p.Address, WatchArgs{After: after, Wait: wait, Number: t.number()})
	if err != nil {
		return roster.Page{}, err
	}
	t.hear(reply.Number)
	return reply.Page, nil
}

// readPeer takes all rows of a node; until the time it is asked again if it does not read the store yet.
func (t *Table) readPeer(ctx context.Context, p Peer, patient time.Time) (roster.Page, error) {
	for {
		page, err := t.watchPeer(ctx, p, 0, 0)
		page.Whole = true
		if !errors.Is(err, ErrNotReading) || t.config.Clock.Now().After(patient) || !timer.Sleep(ctx, startPause) {
			return page, err
		}
	}
}

// awaitSettled spaces the calls to the store.
func (t *Table) awaitSettled(ctx context.Context) error {
	t.mu.Lock()
	pause := t.settled.Sub(t.config.Clock.Now())
	t.mu.Unlock()
	if pause > 0 && !timer.Sleep(ctx, pause) {
		return ctx.Err()
	}
	return nil
}

func (t *Table) worked(source Source, page roster.Page) {
	t.hub.take(page, source.Store)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order.Update(WorkedMsg{Source: source})
	if len(page.Rows) > 0 {
		t.order.Update(PeersMsg{Peers: peersOf(t.hub.domainRows(t.config.Domain))})
		if source.Store {
			t.settled = t.config.Clock.Now().Add(t.config.BatchDelay)
		}
	}
	if source != t.source {
		_ = level.Info(t.config.Logger).Log("msg", "source of the members changed", "from", t.source.String(), "to", source.String(),
			"version", page.Version, "peers", len(t.order.ranked))
		t.source = source
	}
}

func (t *Table) failed(source Source, err error) {
	if source.Store {
		t.hub.stopReading()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order.Update(FailedMsg{Now: t.config.Clock.Now(), Source: source, Refused: errors.Is(err, ErrNotReading)})
	if source == t.source {
		_ = level.Info(t.config.Logger).Log("msg", "source of the members failed", "source", source.String(), "err", err)
	}
}

func (t *Table) knowsPeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.order.ranked) > 0
}

// findPeers reads the part of the failure domain, which is one call where a whole read needs one for each domain.
func (t *Table) findPeers(ctx context.Context) {
	t.storeCalls.Add(1)
	page, err := t.config.Store.ReadPartition(ctx, t.config.Domain)
	if err != nil {
		_ = level.Info(t.config.Logger).Log("msg", "nodes of the failure domain unknown, reading all rows", "err", err)
		return
	}
	if t.config.OnDomainRows != nil {
		t.config.OnDomainRows(page.Rows)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order.Update(PeersMsg{Peers: peersOf(page.Rows)})
}

func (t *Table) number() uint64 {
	if t.config.Configurations == nil {
		return 0
	}
	return t.config.Configurations.Number()
}

func (t *Table) hear(number uint64) {
	if t.config.Configurations != nil {
		t.config.Configurations.Observe(number)
	}
}

// peersOf returns the nodes of the rows that may pass rows on; rows of other writers name none.
func peersOf(rows []roster.Row) []Peer {
	var peers []Peer
	for _, row := range rows {
		record, err := roster.DecodeRecord(row)
		if err != nil || record.Leaving || record.Node.PeerAddress == "" {
			continue // The owner of the members logs rows that are no records.
		}
		peers = append(peers, Peer{
			ID: record.Node.Ref.ID, Incarnation: record.Node.Ref.Incarnation, Address: record.Node.PeerAddress,
		})
	}
	return peers
}

// String names the source for the log.
func (s Source) String() string {
	switch {
	case s.Store:
		return "store"
	case s.Peer.ID == "":
		return "none"
	default:
		return s.Peer.ID
	}
}
