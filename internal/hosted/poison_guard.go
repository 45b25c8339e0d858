package hosted

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/wake"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// guard keeps a request that crashes its targets from coming back. The counts of all nodes reach it with their records.
type guard struct {
	clock  timer.Service
	logger log.Logger
	// due asks for a publication of the node's record.
	due wake.Signal
	// deaths counts the requests that were in flight when the own target died.
	deaths atomic.Int64

	mu      sync.Mutex
	counter *poison.Counter
}

func newGuard(clock timer.Service, logger log.Logger, due wake.Signal) *guard {
	return &guard{clock: clock, logger: logger, due: due, counter: poison.NewCounter(poison.CounterConfig{})}
}

// Fingerprint identifies a request that is sent again. The service is no part of it, because a route may move to another
// service, whose targets the request crashes as well.
func (g *guard) Fingerprint(r edge.PoisonRequest) uint64 {
	return poison.Fingerprint(r.Host, r.Method, r.Path, r.Query, r.Body)
}

// Crashes returns what is known of crashes under the request.
func (g *guard) Crashes(fingerprint uint64) model.Crashes {
	return g.counter.Counts().Crashes(g.clock.Now(), fingerprint)
}

// Quarantined reports whether the request must not run, at any service.
func (g *guard) Quarantined(_ string, fingerprint uint64) bool {
	return g.counter.Counts().Quarantined(g.clock.Now(), fingerprint)
}

// Verdict returns whether the request may run at this agent.
func (g *guard) Verdict(service string, fingerprint uint64) agent.PoisonVerdict {
	if g.Quarantined(service, fingerprint) {
		return agent.PoisonQuarantined
	}
	return agent.PoisonClear
}

// Trial permits what is not quarantined by now: no request is suspect here, because sound ones would be held back on days on
// which many targets crash.
func (g *guard) Trial(_ context.Context, s agent.Suspect) agent.TrialVerdict {
	if g.Quarantined(s.Service, s.Fingerprint) {
		return agent.TrialQuarantined
	}
	return agent.TrialUnneeded
}

// EndTrial does nothing, because no trials are granted.
func (g *guard) EndTrial(agent.Suspect, bool) {}

// Crashed counts a request that was in flight when the target died.
func (g *guard) Crashed(target model.TargetRef, s agent.Suspect) {
	g.deaths.Add(1)
	_ = level.Warn(g.logger).Log("msg", "request in flight at a crash", "service", target.Service, "target", target.ID,
		"fingerprint", hex(s.Fingerprint), "idempotent", s.Idempotent, "crashes-before", s.KnownCrashes.Count, "round", s.KnownCrashes.Round)
	g.update(poison.TargetCrashedMsg{Now: g.clock.Now(), Fingerprint: s.Fingerprint, Known: s.KnownCrashes})
}

// RequestSucceeded ends the count of a request that a target has answered.
func (g *guard) RequestSucceeded(fingerprint uint64) {
	if before := g.Crashes(fingerprint); before.Count > 0 {
		_ = level.Info(g.logger).Log("msg", "request answered after a crash", "fingerprint", hex(fingerprint), "crashes", before.Count,
			"round", before.Round)
		g.update(poison.AnsweredMsg{Now: g.clock.Now(), Fingerprint: fingerprint})
	}
}

// hear takes the counts of another node.
func (g *guard) hear(entries []model.CrashEntry) {
	if len(entries) > 0 {
		g.update(poison.RemoteCountsMsg{Now: g.clock.Now(), Entries: entries})
	}
}

// recall takes the counts that an earlier process of this node has published.
func (g *guard) recall(entries []model.CrashEntry) {
	if len(entries) > 0 {
		g.update(poison.RestoreCountsMsg{Now: g.clock.Now(), Entries: entries})
	}
}

// own returns the counts for the record of this node.
func (g *guard) own() []model.CrashEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counter.LocalEntries()
}

func (g *guard) update(msg poison.CounterMsg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cmd := range g.counter.Update(msg) {
		switch cmd := cmd.(type) {
		case poison.PublishCountsCmd:
			g.due.Raise()
		case poison.QuarantineCmd:
			_ = level.Warn(g.logger).Log("msg", "request quarantined", "fingerprint", hex(cmd.Entry.Fingerprint), "crashes",
				cmd.Entry.Crashes.Count, "round", cmd.Entry.Crashes.Round)
		}
	}
}
