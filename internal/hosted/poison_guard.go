package hosted

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// poisonGuard quarantines requests that repeatedly crash their targets. It receives the crash counts of other nodes
// with their records.
type poisonGuard struct {
	clock  timer.Service
	logger log.Logger
	// publishDue requests a publication of the node's record.
	publishDue notify.Signal
	// inFlightAtCrash counts the requests that were in flight when the local target crashed.
	inFlightAtCrash atomic.Int64

	mu      sync.Mutex
	counter *poison.Counter
}

func newPoisonGuard(clock timer.Service, logger log.Logger, publishDue notify.Signal) *poisonGuard {
	return &poisonGuard{clock: clock, logger: logger, publishDue: publishDue, counter: poison.NewCounter(poison.CounterConfig{})}
}

// Fingerprint identifies repeated sends of the same request. It does not include the service, because a route may move
// to another service whose targets the request crashes as well.
func (g *poisonGuard) Fingerprint(r edge.PoisonRequest) uint64 {
	return poison.Fingerprint(r.Host, r.Method, r.Path, r.Query, r.Body)
}

// Crashes returns the known crashes caused by the request.
func (g *poisonGuard) Crashes(fingerprint uint64) model.Crashes {
	return g.counter.Counts().Crashes(g.clock.Now(), fingerprint)
}

// Quarantined reports whether the request must not run at any service.
func (g *poisonGuard) Quarantined(_ string, fingerprint uint64) bool {
	return g.counter.Counts().Quarantined(g.clock.Now(), fingerprint)
}

// Verdict returns whether the request may run at this agent.
func (g *poisonGuard) Verdict(service string, fingerprint uint64) agent.PoisonVerdict {
	if g.Quarantined(service, fingerprint) {
		return agent.PoisonQuarantined
	}
	return agent.PoisonClear
}

// Trial permits every request that is not quarantined. Single crashes do not make a request suspect here, because this
// would hold back harmless requests whenever many targets crash.
func (g *poisonGuard) Trial(_ context.Context, s agent.Suspect) agent.TrialVerdict {
	if g.Quarantined(s.Service, s.Fingerprint) {
		return agent.TrialQuarantined
	}
	return agent.TrialUnneeded
}

// EndTrial does nothing because no trials are granted.
func (g *poisonGuard) EndTrial(agent.Suspect, bool) {}

// Crashed counts a crash for a request that was in flight when the target crashed.
func (g *poisonGuard) Crashed(target model.TargetRef, s agent.Suspect) {
	g.inFlightAtCrash.Add(1)
	_ = level.Warn(g.logger).Log("msg", "request in flight at a crash", "service", target.Service, "target", target.ID,
		"fingerprint", formatFingerprint(s.Fingerprint), "idempotent", s.Idempotent, "abandoned", s.Abandoned, "crashes-before", s.KnownCrashes.Count, "round", s.KnownCrashes.Round)
	g.update(poison.TargetCrashedMsg{Now: g.clock.Now(), Fingerprint: s.Fingerprint, Known: s.KnownCrashes})
}

// RequestSucceeded resets the crash count of a request that a target has answered.
func (g *poisonGuard) RequestSucceeded(fingerprint uint64) {
	if before := g.Crashes(fingerprint); before.Count > 0 {
		_ = level.Info(g.logger).Log("msg", "request answered after a crash", "fingerprint", formatFingerprint(fingerprint), "crashes", before.Count,
			"round", before.Round)
		g.update(poison.AnsweredMsg{Now: g.clock.Now(), Fingerprint: fingerprint})
	}
}

// merge adds the crash counts of another node.
func (g *poisonGuard) merge(entries []model.CrashEntry) {
	if len(entries) > 0 {
		g.update(poison.RemoteCountsMsg{Now: g.clock.Now(), Entries: entries})
	}
}

// restore loads the crash counts that an earlier process of this node published.
func (g *poisonGuard) restore(entries []model.CrashEntry) {
	if len(entries) > 0 {
		g.update(poison.RestoreCountsMsg{Now: g.clock.Now(), Entries: entries})
	}
}

// localEntries returns the crash counts for the record of this node.
func (g *poisonGuard) localEntries() []model.CrashEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counter.LocalEntries()
}

func (g *poisonGuard) update(msg poison.CounterMsg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cmd := range g.counter.Update(msg) {
		switch cmd := cmd.(type) {
		case poison.PublishCountsCmd:
			g.publishDue.Raise()
		case poison.QuarantineCmd:
			_ = level.Warn(g.logger).Log("msg", "request quarantined", "fingerprint", formatFingerprint(cmd.Entry.Fingerprint), "crashes",
				cmd.Entry.Crashes.Count, "round", cmd.Entry.Crashes.Round)
		}
	}
}
