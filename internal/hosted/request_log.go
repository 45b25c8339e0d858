package hosted

import (
	"strconv"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/trace"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// requestLogger writes one line per answered and one per relayed request. Failures and refusals go to a separate
// logger, whose lines are dropped last when the log cannot be written fast enough.
type requestLogger struct {
	ordinary log.Logger
	failures log.Logger
	fleet    *fleetState
	metrics  *metrics
}

// attemptLine is the log format of one attempt.
type attemptLine struct {
	Target   string `json:"target"`
	Node     string `json:"node"`
	Result   string `json:"result"`
	Patience string `json:"patience,omitempty"`
	Forced   bool   `json:"forced,omitempty"`
	Took     string `json:"took"`
	// Left is why the request left the failure domain, Tier how far it went.
	Left string `json:"left-because,omitempty"`
	Tier string `json:"tier,omitempty"`
}

// LogRequest logs the answer to a caller.
func (j *requestLogger) LogRequest(s edge.RequestSummary) {
	j.metrics.answered(s)
	logger := j.ordinary
	if s.Outcome != model.OutcomeDone || s.Status >= 500 {
		logger = j.failures
	}
	_, members := j.fleet.ages()
	line := []any{
		"msg", trace.MsgAnswered, "id", s.ID, "route", s.Route, "service", s.Service, "outcome", s.Outcome,
		"status", s.Status, "reason", s.Reason, "call", s.Nested, "took", formatDuration(s.Duration), "left", formatDuration(s.Remaining),
		"configuration", s.Configuration, "members-age", formatDuration(members), "fingerprint", formatFingerprint(s.Fingerprint),
		"tries", attemptLines(s.Attempts),
	}
	if s.Account != "" {
		line = append(line, "account", s.Account)
	}
	_ = logger.Log(line...)
}

// LogRelayed logs the end of a relayed request.
func (j *requestLogger) LogRelayed(r agent.RequestRecord) {
	j.metrics.relayed(r)
	logger := j.ordinary
	if r.Outcome != model.OutcomeDone || r.Status >= 500 {
		logger = j.failures
	}
	line := []any{
		"msg", trace.MsgRelayed, "id", r.ID, "service", r.Target.Service, "target", r.Target.ID, "class", r.Class.String(),
		"outcome", r.Outcome, "status", r.Status, "reason", r.Reason, "waited", formatDuration(r.Waited), "ran", formatDuration(r.Ran), "load", r.Load.String(),
		"fingerprint", formatFingerprint(r.Fingerprint),
	}
	if r.Account != "" {
		line = append(line, "account", r.Account)
	}
	if r.Notice.Limited {
		line = append(line, "rate-limit", r.Notice.RateLimit)
	}
	_ = logger.Log(line...)
}

func attemptLines(attempts []edge.AttemptRecord) []attemptLine {
	lines := make([]attemptLine, 0, len(attempts))
	for _, t := range attempts {
		line := attemptLine{Target: t.Target, Node: t.Node, Result: t.Result, Forced: t.Forced, Took: formatDuration(t.Duration)}
		if t.Patience > 0 {
			line.Patience = formatDuration(t.Patience)
		}
		if t.Left != "" {
			line.Left, line.Tier = t.Left, t.Tier
		}
		lines = append(lines, line)
	}
	return lines
}

// formatFingerprint formats a fingerprint as in the headers between nodes; an unknown fingerprint is empty.
func formatFingerprint(fingerprint uint64) string {
	if fingerprint == 0 {
		return ""
	}
	return strconv.FormatUint(fingerprint, 16)
}

// formatDuration rounds a duration to whole milliseconds.
func formatDuration(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
