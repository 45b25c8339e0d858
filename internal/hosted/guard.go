package hosted

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// guard tells which requests were at targets that died.
type guard struct {
	logger log.Logger
}

// Fingerprint identifies a request that is sent again. The service is no part of it, because a route may move to another
// service, whose targets the request crashes as well.
func (g *guard) Fingerprint(r edge.PoisonRequest) uint64 {
	return poison.Fingerprint(r.Host, r.Method, r.Path, r.Query, r.Body)
}

// Quarantined permits all requests.
func (g *guard) Quarantined(string, uint64) bool { return false }

// Verdict permits all requests.
func (g *guard) Verdict(string, uint64) agent.PoisonVerdict { return agent.PoisonClear }

// Trial permits all requests.
func (g *guard) Trial(context.Context, agent.Suspect) agent.TrialVerdict { return agent.TrialNeedless }

// EndTrial does nothing, because no trials are granted.
func (g *guard) EndTrial(agent.Suspect, bool) {}

// Crashed notes a request that was in flight when the target died.
func (g *guard) Crashed(target model.TargetRef, s agent.Suspect) {
	_ = level.Warn(g.logger).Log("msg", "request in flight at a crash", "service", target.Service, "target", target.ID,
		"fingerprint", hex(s.Fingerprint), "idempotent", s.Idempotent)
}
