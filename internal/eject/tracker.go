package eject

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// defaultInterval is the time between two evaluations; it adds at most that much to the detection time.
const defaultInterval = 50 * time.Millisecond

// TrackerConfig configures a tracker; Observer and Clock are required.
type TrackerConfig struct {
	Config
	Clock timer.Service
	// Interval is the time between two evaluations; zero means 50 ms.
	Interval time.Duration
	// OnClaims receives the agent's claims whenever they change; it must not call the tracker.
	OnClaims func([]model.Claim)
	// OnVerdict receives each change of a published state; it must not call the tracker.
	OnVerdict func(VerdictCmd)
}

// Request describes a request that is sent to a target.
type Request struct {
	Target model.TargetRef
	// Class groups requests of comparable duration, such as those of a route.
	Class      string
	Idempotent bool
}

// Result describes how a request ended.
type Result struct{ Kind Kind }

// Tracker is the concurrent wrapper of Module; the request path uses only atomics.
type Tracker struct {
	config TrackerConfig
	base   time.Time
	cells  sync.Map
	// touched is a linked list of the cells that requests have used since the last collection, each once.
	touched  atomic.Pointer[cell]
	snapshot atomic.Pointer[Snapshot]
	claims   atomic.Pointer[[]model.Claim]

	mu     sync.Mutex
	module *Module
	view   *view.View
	index  cellIndex

	ticks     *timer.Subscription
	done      chan struct{}
	closeOnce sync.Once
	wg        conc.WaitGroup
}

type cellKey struct {
	target model.TargetRef
	class  string
}

// cell collects what the requests of one class at one target report.
type cell struct {
	key      cellKey
	starts   startTimes
	results  results
	reported bool
	// queued tells that the cell is in the touched list, where next is the cell that follows it.
	queued  atomic.Bool
	next    *cell
	dropped atomic.Bool
	// registered tells that the cell is in the cell index; the tracker's lock guards it.
	registered bool
	// usedAt is when the cell was last collected; the tracker's lock guards it.
	usedAt time.Time
}

// Handle is one request in flight.
type Handle struct {
	tracker    *Tracker
	cell       *cell
	slot       *atomic.Int64
	start      int64
	idempotent bool
	finished   atomic.Bool
}

// NewTracker returns a running tracker; Close stops it.
func NewTracker(c TrackerConfig) *Tracker {
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	t := &Tracker{config: c, base: c.Clock.Now(), module: New(c.Config), index: newCellIndex(), done: make(chan struct{})}
	t.snapshot.Store(t.module.Snapshot())
	t.ticks = c.Clock.Subscribe(c.Interval)
	t.wg.Go(t.run)
	return t
}

// Close stops the evaluation and waits for its goroutine.
func (t *Tracker) Close() {
	t.closeOnce.Do(func() {
		t.ticks.Stop()
		close(t.done)
	})
	t.wg.Wait()
}

// Start begins to track a request; the returned handle must be finished.
func (t *Tracker) Start(r Request) *Handle {
	key := cellKey{r.Target, r.Class}
	found, ok := t.cells.Load(key)
	if !ok {
		found, _ = t.cells.LoadOrStore(key, &cell{key: key})
	}
	c := found.(*cell)
	start := t.elapsed()
	slot := c.starts.reserve(start)
	t.touch(c)
	return &Handle{tracker: t, cell: c, slot: slot, start: start, idempotent: r.Idempotent}
}

// Progress records that the target is still working on the request, for example that part of a download arrived.
func (h *Handle) Progress() {
	if !h.finished.Load() {
		h.slot.Store(h.tracker.elapsed())
	}
}

// Finish ends the request; later calls have no effect. It must not run concurrently with Progress.
func (h *Handle) Finish(r Result) {
	if !h.finished.CompareAndSwap(false, true) {
		return
	}
	h.slot.Store(0)
	now := h.tracker.elapsed()
	h.cell.results.push(&finished{
		at: now, duration: time.Duration(now - h.start), kind: r.Kind, idempotent: h.idempotent,
	})
	h.tracker.touch(h.cell)
}

// touch adds the cell to the list that the next collection visits.
func (t *Tracker) touch(c *cell) {
	if c.queued.Load() || !c.queued.CompareAndSwap(false, true) {
		return
	}
	for {
		head := t.touched.Load()
		c.next = head
		if t.touched.CompareAndSwap(head, c) {
			return
		}
	}
}

// Snapshot returns the current verdicts.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }

// Verdict returns the current verdict on a target.
func (t *Tracker) Verdict(ref model.TargetRef) Verdict { return t.snapshot.Load().Verdict(ref) }

// Claims returns the claims to publish in the node's record.
func (t *Tracker) Claims() []model.Claim {
	if claims := t.claims.Load(); claims != nil {
		return *claims
	}
	return nil
}

// SetView applies the services, targets and claims that changed since the previous view; an agent's tracker keeps only
// the targets of its own node.
func (t *Tracker) SetView(v *view.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	difference := v.Since(t.view)
	t.view = v
	msg := ChangeMsg{Now: t.config.Clock.Now(), Removed: difference.Removed}
	for _, s := range difference.Changed {
		msg.Changed = append(msg.Changed, t.changeOf(v.Self.Ref, s))
	}
	t.registerTouched()
	t.apply(t.module.Update(msg))
	t.dropUnannounced()
}

func (t *Tracker) changeOf(self model.NodeRef, s *view.Service) ServiceChange {
	item := ServiceChange{Service: Service{Spec: s.Spec}, Claims: s.Claims}
	if t.config.Observer == ObserverEdge {
		item.Targets = make([]model.Target, 0, len(s.Candidates))
	}
	for i := range s.Candidates {
		target := s.Candidates[i].Target
		n := len(item.Targets)
		switch {
		case t.config.Observer == ObserverAgent && target.Node != self:
		case n > 0 && item.Targets[n-1].Ref == target.Ref: // Two nodes announce the target.
			item.Targets[n-1] = target
		default:
			item.Targets = append(item.Targets, target)
		}
	}
	return item
}

// elapsed returns the nanoseconds since the tracker's start plus one, as 0 marks a free slot.
func (t *Tracker) elapsed() int64 {
	return int64(t.config.Clock.Now().Sub(t.base)) + 1
}

func (t *Tracker) run() {
	for {
		select {
		case now := <-t.ticks.C:
			t.collect(now)
		case <-t.done:
			return
		}
	}
}

// collect passes the results of requests to the module and triggers an evaluation. It visits only the cells that were
// used since the last collection or have requests in flight: an edge of a large fleet has about 100,000 cells, most of
// them idle, and visiting all of them took half a core.
func (t *Tracker) collect(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := t.snapshot.Load()
	for c := t.touched.Swap(nil); c != nil; {
		next := c.next
		// From here on, new activity adds the cell to the list again.
		c.queued.Store(false)
		if !c.dropped.Load() {
			t.register(c)
			c.usedAt = now
			t.collectCell(now, c, snapshot.Verdict(c.key.target).EvidenceFrom)
		}
		c = next
	}
	t.dropIdle(now)
	t.apply(t.module.Update(TickMsg{Now: now}))
}

func (t *Tracker) collectCell(now time.Time, c *cell, evidenceFrom time.Time) {
	for f := c.results.drain(); f != nil; f = f.next {
		t.module.Update(ResultMsg{
			Now: t.base.Add(time.Duration(f.at)), Target: c.key.target, Class: c.key.class,
			Duration: f.duration, Kind: f.kind, Idempotent: f.idempotent,
		})
	}
	t.collectInFlight(now, c.key, c, evidenceFrom)
	if count, _, _ := c.starts.oldest(0); count > 0 || c.reported {
		t.touch(c)
	}
}

func (t *Tracker) collectInFlight(now time.Time, k cellKey, c *cell, from time.Time) {
	var since int64
	if !from.IsZero() {
		since = int64(from.Sub(t.base))
	}
	count, first, second := c.starts.oldest(since)
	if count == 0 && !c.reported {
		return
	}
	c.reported = count > 0
	msg := InFlightMsg{Now: now, Target: k.target, Class: k.class, Count: count}
	if count > 0 {
		msg.OldestAge = max(0, now.Sub(t.base.Add(time.Duration(first))))
	}
	if count > 1 {
		msg.SecondAge = max(0, now.Sub(t.base.Add(time.Duration(second))))
	}
	t.module.Update(msg)
}

func (t *Tracker) apply(cmds []Cmd) {
	t.snapshot.Store(t.module.Snapshot())
	for _, c := range cmds {
		switch c := c.(type) {
		case TargetRemovedCmd:
			t.drop(c.Target)
		case ClaimsCmd:
			t.claims.Store(&c.Claims)
			if t.config.OnClaims != nil {
				t.config.OnClaims(c.Claims)
			}
		case VerdictCmd:
			if t.config.OnVerdict != nil {
				t.config.OnVerdict(c)
			}
		}
	}
}
