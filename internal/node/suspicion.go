package node

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/once"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// trialTimeout bounds the calls about a trial; without an answer there is no trial.
const trialTimeout = 2 * time.Second

// suspicion adapts the detection of requests that crash targets to edge and agent.
type suspicion struct {
	self   model.NodeRef
	guard  *poison.Guard
	peers  poison.Peers
	logger log.Logger
}

// Fingerprint identifies a request for the detection of requests that crash targets. The idempotency key is no part of
// it, because a caller may send the same request again under a new key.
func (s *suspicion) Fingerprint(r edge.PoisonRequest) uint64 {
	return once.Fingerprint("", r.Service, r.Method, r.Path, r.Query, r.Body)
}

// Quarantined reports whether the request must not run.
func (s *suspicion) Quarantined(service string, fingerprint uint64) bool {
	return s.guard.Snapshot().Verdict(service, fingerprint) == poison.Quarantined
}

// Trial asks the agent whose target crashed whether the request may be tried once more.
func (s *suspicion) Trial(ctx context.Context, node model.Node, service string, fingerprint uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	if node.Ref == s.self {
		return s.guard.Trial(ctx, service, fingerprint)
	}
	granted, err := poison.AskTrial(ctx, s.peers, node, service, fingerprint)
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "trial of a suspect request not granted", "node", node.Ref.ID, "err", err)
	}
	return granted && err == nil
}

// EndTrial tells that agent how the trial ended.
func (s *suspicion) EndTrial(node model.Node, service string, fingerprint uint64, survived bool) {
	if node.Ref == s.self {
		s.guard.EndTrial(service, fingerprint, survived)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	if err := poison.TellTrial(ctx, s.peers, node, service, fingerprint, survived); err != nil {
		_ = level.Warn(s.logger).Log("msg", "end of a trial not reported; the suspicion expires", "node", node.Ref.ID, "err", err)
	}
}

// Verdict returns whether the request may run at this agent.
func (s *suspicion) Verdict(service string, fingerprint uint64) agent.PoisonVerdict {
	switch s.guard.Snapshot().Verdict(service, fingerprint) {
	case poison.Quarantined:
		return agent.PoisonQuarantined
	case poison.Suspect:
		return agent.PoisonSuspect
	default:
		return agent.PoisonClear
	}
}

// Crashed records a crash and returns when the agents of the service know of it.
func (s *suspicion) Crashed(target model.TargetRef, suspect agent.Suspect) {
	_ = level.Warn(s.logger).Log("msg", "request in flight at a crash is suspect", "service", target.Service, "target", target.ID,
		"fingerprint", suspect.Fingerprint, "idempotent", suspect.Idempotent)
	s.guard.Crash(context.Background(), target, []poison.Request{{Fingerprint: suspect.Fingerprint, Idempotent: suspect.Idempotent}})
}

// learn takes the entries that other nodes publish in their records.
func (s *suspicion) learn(snapshot *member.Snapshot) {
	for i := range snapshot.Records {
		if record := &snapshot.Records[i]; len(record.Poison) > 0 && record.Node.Ref != s.self {
			s.guard.Report(record.Node.Ref, record.Poison)
		}
	}
}
