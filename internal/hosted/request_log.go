package hosted

import (
	"strconv"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/story"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// journal writes one line for each answer of the edge and for each end of a relayed request. Lines about failures and
// refusals are kept longest when the log can't be written fast enough.
type journal struct {
	ordinary log.Logger
	failures log.Logger
	beliefs  *beliefs
	meters   *meters
}

// tryLine is one attempt as it stands in the log.
type tryLine struct {
	Target   string `json:"target"`
	Node     string `json:"node"`
	Result   string `json:"result"`
	Patience string `json:"patience,omitempty"`
	Forced   bool   `json:"forced,omitempty"`
	Took     string `json:"took"`
}

// LogRequest notes the answer to a caller.
func (j *journal) LogRequest(s edge.RequestSummary) {
	j.meters.answered(s)
	logger := j.ordinary
	if s.Outcome != model.OutcomeDone || s.Status >= 500 {
		logger = j.failures
	}
	_, members := j.beliefs.ages()
	_ = logger.Log("msg", story.MsgAnswered, "id", s.ID, "route", s.Route, "service", s.Service, "outcome", s.Outcome,
		"status", s.Status, "reason", s.Reason, "call", s.Nested, "took", text(s.Duration), "left", text(s.Remaining),
		"configuration", s.Configuration, "members-age", text(members), "fingerprint", hex(s.Fingerprint),
		"tries", triesOf(s.Attempts))
}

// LogRelayed notes the end of a relayed request.
func (j *journal) LogRelayed(r agent.RequestRecord) {
	j.meters.relayed(r)
	logger := j.ordinary
	if r.Outcome != model.OutcomeDone || r.Status >= 500 {
		logger = j.failures
	}
	_ = logger.Log("msg", story.MsgRelayed, "id", r.ID, "service", r.Target.Service, "target", r.Target.ID, "class", r.Class.String(),
		"outcome", r.Outcome, "status", r.Status, "reason", r.Reason, "waited", text(r.Waited), "ran", text(r.Ran), "load", r.Load.String(),
		"fingerprint", hex(r.Fingerprint))
}

func triesOf(tries []edge.AttemptRecord) []tryLine {
	lines := make([]tryLine, 0, len(tries))
	for _, t := range tries {
		line := tryLine{Target: t.Target, Node: t.Node, Result: t.Result, Forced: t.Forced, Took: text(t.Duration)}
		if t.Patience > 0 {
			line.Patience = text(t.Patience)
		}
		lines = append(lines, line)
	}
	return lines
}

// hex writes a fingerprint as it stands in the headers between nodes; one that is not known is empty.
func hex(fingerprint uint64) string {
	if fingerprint == 0 {
		return ""
	}
	return strconv.FormatUint(fingerprint, 16)
}

// text writes a duration in whole milliseconds.
func text(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
