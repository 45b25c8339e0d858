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
	// peerWait is how long one call to a node waits for changes. It bounds the time for which a frozen node hides those of
	// the rows; a configuration is asked for as soon as it has not been confirmed for long.
	peerWait = 2 * time.Second
	// storeWait is how long one call to the store waits for changes. It bounds the time for which a call that the store
	// has lost hides them from a whole failure domain.
	storeWait = 5 * time.Second
	// startupWait is how long a starting node waits for a peer that starts at the same time and will read the store;
	// startupPause is the time between two attempts.
	startupWait  = 700 * time.Millisecond
	startupPause = 100 * time.Millisecond
	// defaultBatchDelay batches the changes of nodes that start or stop together into one response of the store.
	defaultBatchDelay = time.Second
)

// Store is the table in the store; the nodes of a failure domain have their rows in a partition named after it.
type Store interface {
	roster.Table
	// ReadPartition returns the rows of one partition.
	ReadPartition(ctx context.Context, partition string) (roster.Page, error)
}

// Configurations provides the number of the configuration in force.
type Configurations interface {
	Number() uint64
	// Observe receives the number of the configuration in force at another node.
	Observe(number uint64)
}

// errNoSource means that all sources have failed recently.
var errNoSource = eris.New("neither the store nor any node of the failure domain responded; all are in backoff")

type dialFunc = relay.DialFunc

// Config configures a table; Store, Self and Domain are required.
type Config struct {
	Store Store
	// Self is the key of this node's row, and Domain the partition that contains it.
	Self   string
	Domain string
	// OnDomainRows is called once, with the rows of the failure domain as the store held them after the table was made. What
	// earlier processes of the node wrote is among them; rows of another node may be older.
	OnDomainRows func(rows []roster.Row)
	// OnUnfollow is called when the node stops following another node, which would have told it of a new configuration.
	OnUnfollow func()
	// BatchDelay is the time between two calls to the store when the first one returned changes; default 1 s.
	BatchDelay     time.Duration
	Configurations Configurations
	// Confirmations and ConfigurationRow are optional. ConfigurationRow returns the row of the configuration in force.
	Confirmations    Confirmations
	ConfigurationRow func() (row roster.Row, found bool)
	// Region is that of the failure domain, Incarnation that of this node, and Address is where it serves rows.
	Incarnation uint64
	Address     string
	Region      string
	Clock       timer.Service
	Dial        dialFunc
	Logger      log.Logger
}

// Table is a table of the store that is read through other nodes of the failure domain where possible. Writes go to the
// store.
type Table struct {
	config Config
	cache  *rowCache
	client client
	// storeCalls and peerCalls count the calls to the store and to other nodes.
	storeCalls atomic.Int64
	peerCalls  atomic.Int64
	// heard is the highest number of a configuration that another node had in force.
	heard atomic.Uint64

	mu       sync.Mutex
	selector *SourceSelector
	// nextStoreCall is the earliest time of the next call to the store.
	nextStoreCall time.Time
	// source is where the last rows came from.
	source Source
	// introducer is a node that has told this one of others; it may be zero.
	introducer Peer
	// follows is true while another node provides the rows.
	follows bool
	// recalls counts how often other nodes have been asked for rows that the store has lost, and nextRecall is the earliest
	// time of the next call.
	recalls    int
	nextRecall time.Time
	// createdAt is when the table was made, and domainKnown is true once the rows are known to be more recent.
	createdAt   time.Time
	domainKnown bool
	// nextDomainRead is the earliest time of the next attempt to read the failure domain directly.
	nextDomainRead time.Time

	// lookMu is held during a look, whose answer serves all callers that wait for it. nextLook is the earliest time of the next
	// one.
	lookMu   sync.Mutex
	nextLook time.Time
}

// NewTable returns a table that does not know any other node yet.
func NewTable(c Config) *Table {
	if c.BatchDelay <= 0 {
		c.BatchDelay = defaultBatchDelay
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
	return &Table{config: c, cache: newRowCache(), selector: NewSourceSelector(c.Self), createdAt: c.Clock.Now()}
}

// Read returns all rows, from another node if one is known or found in the partition of the failure domain.
func (t *Table) Read(ctx context.Context) (roster.Page, error) {
	if !t.knowsPeers() {
		t.findPeers(ctx)
	}
	retryUntil := t.config.Clock.Now().Add(startupWait)
	return t.fetch(ctx, func(s Source) (roster.Page, error) {
		if !s.Store {
			return t.readPeer(ctx, s.Peer, retryUntil)
		}
		t.storeCalls.Add(1)
		asked := t.config.Clock.Now()
		page, err := t.config.Store.Read(ctx)
		page.AsOf = asked
		return t.checkEra(page, err)
	})
}

// Watch waits for rows that changed after the version.
func (t *Table) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	if rows := t.recall(ctx); len(rows) > 0 {
		return roster.Page{Rows: rows, Version: after, Era: t.cache.eraOf()}, nil
	}
	t.retryDomain(ctx)
	return t.fetch(ctx, func(s Source) (roster.Page, error) {
		if !s.Store {
			return t.watchPeer(ctx, s.Peer, after, min(wait, peerWait))
		}
		if err := t.awaitStoreCall(ctx); err != nil {
			return roster.Page{}, err
		}
		t.storeCalls.Add(1)
		asked := t.config.Clock.Now()
		page, err := t.config.Store.Watch(ctx, after, min(wait, storeWait))
		page.AsOf = asked
		if known := t.cache.eraOf(); err == nil && page.Era > known {
			return roster.Page{}, eris.Wrapf(roster.ErrHistoryLost, "the store is in era %d instead of %d", page.Era, known)
		}
		return t.checkEra(page, err)
	})
}

// checkEra fails for a page that the store returned before it came back from a copy.
func (t *Table) checkEra(page roster.Page, err error) (roster.Page, error) {
	if err == nil && page.Era < t.cache.eraOf() {
		return roster.Page{}, roster.ErrStaleEra
	}
	return page, err
}

// Era returns the latest era of the store that this node has heard of.
func (t *Table) Era() uint64 {
	era := t.cache.eraOf()
	if store, tells := t.config.Store.(interface{ Era() uint64 }); tells {
		era = max(era, store.Era())
	}
	return era
}

// Follows reports whether another node provides the rows.
func (t *Table) Follows() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.follows
}

// setFollows records whether another node provides the rows.
func (t *Table) setFollows(follows bool) {
	t.mu.Lock()
	before := t.follows
	t.follows = follows
	t.mu.Unlock()
	if before && !follows && t.config.OnUnfollow != nil {
		t.config.OnUnfollow()
	}
}

// NumberChanged tells the followers that a newer configuration is in force.
func (t *Table) NumberChanged() { t.cache.wake() }

// Confirmed tells the followers that the configuration in force has been confirmed again.
func (t *Table) Confirmed() { t.cache.wake() }

// Write stores the row.
func (t *Table) Write(ctx context.Context, row roster.Row, expected uint64) (uint64, error) {
	t.storeCalls.Add(1)
	return t.config.Store.Write(ctx, row, expected)
}

// StoreCalls returns the number of calls to the store so far.
func (t *Table) StoreCalls() int64 { return t.storeCalls.Load() }

// PeerCalls returns the number of calls to other nodes so far.
func (t *Table) PeerCalls() int64 { return t.peerCalls.Load() }

// StopServing refuses followers from now on, because the node is leaving.
func (t *Table) StopServing() { t.cache.close() }

// Close closes the connection to the node that is followed; the table must not be watched afterwards.
func (t *Table) Close() { t.client.close() }

// fetch tries the sources in order until one responds.
func (t *Table) fetch(ctx context.Context, call func(Source) (roster.Page, error)) (roster.Page, error) {
	last := errNoSource
	for _, source := range t.sources() {
		if source.Store {
			t.setFollows(false) // A call to the store may wait for long, and meanwhile no other node tells this one of anything.
		}
		page, err := call(source)
		if ctx.Err() != nil {
			return page, err
		}
		// A history error concerns this node's version, not the source.
		if err == nil || errors.Is(err, roster.ErrHistoryLost) {
			t.sourceSucceeded(source, page)
			return page, err
		}
		t.sourceFailed(source, err)
		last = err
	}
	return roster.Page{}, last
}

func (t *Table) sources() []Source {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selector.Sources(t.config.Clock.Now())
}

func (t *Table) watchPeer(ctx context.Context, p Peer, after uint64, wait time.Duration) (roster.Page, error) {
	// While this node follows another one, no node should follow it.
	t.cache.stopReading()
	t.peerCalls.Add(1)
	asked := t.config.Clock.Now()
	reply, err := t.client.watch(ctx, t.config.Dial, p.Address, WatchArgs{
		After: after, Wait: wait, Number: t.number(), Known: max(t.number(), t.heard.Load()), Era: t.cache.eraOf(), KnowsEra: true,
		ConfirmationAge: t.confirmationAge(), MaxRowAge: t.maxRowAge(asked),
	})
	if err != nil {
		return roster.Page{}, err
	}
	if reply.Number > t.heard.Load() { // Only one call at a time is in flight.
		t.heard.Store(reply.Number)
	}
	t.observeNumber(reply.Number)
	t.observeConfirmation(reply.Number, reply.Confirmation, asked)
	if reply.Rows.IsConfirmed {
		reply.Page.AsOf = asked.Add(-reply.Rows.Age)
	}
	return t.checkEra(reply.Page, nil)
}

// readPeer reads all rows of a node; until retryUntil it calls again if the node does not read the store yet.
func (t *Table) readPeer(ctx context.Context, p Peer, retryUntil time.Time) (roster.Page, error) {
	for {
		page, err := t.watchPeer(ctx, p, 0, 0)
		page.Whole = true
		if !errors.Is(err, ErrNotReading) || t.config.Clock.Now().After(retryUntil) || !timer.Sleep(ctx, startupPause) {
			return page, err
		}
	}
}

// awaitStoreCall delays the next call to the store.
func (t *Table) awaitStoreCall(ctx context.Context) error {
	t.mu.Lock()
	pause := t.nextStoreCall.Sub(t.config.Clock.Now())
	t.mu.Unlock()
	if pause > 0 && !timer.Sleep(ctx, pause) {
		return ctx.Err()
	}
	return nil
}

func (t *Table) sourceSucceeded(source Source, page roster.Page) {
	t.cache.merge(page, source.Store)
	t.learnDomain()
	t.setFollows(!source.Store)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.selector.Update(SucceededMsg{Source: source})
	if len(page.Rows) > 0 {
		t.selector.Update(PeersMsg{Peers: peersFromRows(t.cache.partitionRows(t.config.Domain))})
		if source.Store {
			t.nextStoreCall = t.config.Clock.Now().Add(t.config.BatchDelay)
		}
	}
	if source != t.source {
		_ = level.Info(t.config.Logger).Log("msg", "membership source changed", "from", t.source.String(), "to", source.String(),
			"version", page.Version, "peers", len(t.selector.ranked))
		t.source = source
	}
}

func (t *Table) sourceFailed(source Source, err error) {
	if source.Store {
		t.cache.stopReading()
	}
	t.setFollows(false)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.selector.Update(FailedMsg{Now: t.config.Clock.Now(), Source: source, NotReading: errors.Is(err, ErrNotReading)})
	if source == t.source {
		_ = level.Info(t.config.Logger).Log("msg", "membership source failed", "source", source.String(), "err", err)
	}
}

func (t *Table) knowsPeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.selector.ranked) > 0
}

// findPeers reads the partition of the failure domain, which takes one call where reading all rows takes one per
// domain.
func (t *Table) findPeers(ctx context.Context) {
	t.storeCalls.Add(1)
	page, err := t.config.Store.ReadPartition(ctx, t.config.Domain)
	if err != nil {
		_ = level.Info(t.config.Logger).Log("msg", "cannot read the nodes of the failure domain", "err", err)
		return
	}
	t.domainRead(page.Rows)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.selector.Update(PeersMsg{Peers: peersFromRows(page.Rows)})
}

func (t *Table) number() uint64 {
	if t.config.Configurations == nil {
		return 0
	}
	return t.config.Configurations.Number()
}

func (t *Table) observeNumber(number uint64) {
	if t.config.Configurations != nil {
		t.config.Configurations.Observe(number)
	}
}

// peersFromRows returns the nodes in the rows that may serve rows; rows of other writers are skipped.
func peersFromRows(rows []roster.Row) []Peer {
	var peers []Peer
	for _, row := range rows {
		record, err := roster.DecodeRecord(row)
		if err != nil || record.Leaving || record.Node.PeerAddress == "" {
			continue // Rows that are not valid records are logged by the owner of the member list.
		}
		peers = append(peers, peerOf(record))
	}
	return peers
}

func peerOf(r *roster.Record) Peer {
	return Peer{ID: r.Node.Ref.ID, Incarnation: r.Node.Ref.Incarnation, Address: r.Node.PeerAddress}
}

// String returns the name of the source for log lines.
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
