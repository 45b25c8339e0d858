package agent

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// admission returns what the limiter needs to know of the request.
func (x *exchange) admission() AdmitRequest {
	h := x.r.Header
	r := AdmitRequest{
		Account: h.Get(model.HeaderAccount), Deadline: x.deadline, Route: x.route, Class: x.class,
		HasPatience: x.negotiated,
	}
	if patience, err := time.ParseDuration(h.Get(model.HeaderPatience)); err == nil {
		r.Patience = patience
	}
	if objective, err := time.ParseDuration(h.Get(model.HeaderObjective)); err == nil {
		r.Objective = x.started.Add(objective)
	}
	return r
}

// waiter is an error of the limiter that knows how long the request would wait.
type waiter interface {
	ExpectedWait() time.Duration
	// SuccessRatio is the share of its latest requests that a sick target served; it is 0 for other refusals.
	SuccessRatio() float64
}

// stateWait tells the edge how long the request would have waited here. Interim answers read the header, so they end first.
func (x *exchange) stateWait(err error) {
	x.interim.end()
	var w waiter
	if errors.As(err, &w) {
		x.w.Header()[model.HeaderWait] = []string{w.ExpectedWait().Round(time.Millisecond).String()}
		if chance := w.SuccessRatio(); chance > 0 {
			x.w.Header()[model.HeaderChance] = []string{strconv.FormatFloat(chance, 'f', 2, 64)}
		}
	}
}

// compareConfigurations tells the edge which configuration is in force here, and hears which one is there.
func (a *Agent) compareConfigurations(answer, request http.Header) {
	c := a.config.Configurations
	if c == nil {
		return
	}
	if number, err := strconv.ParseUint(request.Get(model.HeaderConfiguration), 10, 64); err == nil {
		c.Observe(number)
	}
	answer[model.HeaderConfiguration] = []string{strconv.FormatUint(c.Number(), 10)}
}

// left returns the reason to refuse a request whose target or node began to leave while it waited.
func (x *exchange) left() string {
	switch {
	case x.local.shared.draining.Load():
		return relay.ReasonDraining
	case x.agent.leaving.Load():
		return relay.ReasonLeaving
	default:
		return ""
	}
}

// shed refuses the request in the name of the target, which did not run it.
func (x *exchange) shed(conn *relay.Conn, response *http.Response) ResultKind {
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		conn.Close()
	} else {
		conn.Release()
	}
	x.release()
	x.refuse(relay.ReasonShed, model.OutcomeNotRun)
	return ResultShed
}

// replaced drops a target whose address belongs to another one by now.
func (x *exchange) replaced(conn *relay.Conn) ResultKind {
	conn.Close()
	x.release()
	x.agent.targetGone(x.local, "another target has the address")
	x.refuse(relay.ReasonUnknownTarget, model.OutcomeNotRun)
	return ResultShed
}

// note tells the journal how the request ended.
func (x *exchange) note() {
	journal := x.agent.config.RequestLogger
	if journal == nil {
		return
	}
	x.record.Class = x.class
	x.record.ID = x.agent.config.Protocol.ID(x.r)
	if x.local != nil {
		x.record.Load = x.local.limiter.Load()
	}
	if x.record.Outcome == "" {
		x.record.Outcome = model.OutcomeDone
		if x.abort {
			x.record.Outcome = model.OutcomeUnknown
		}
	}
	journal.LogRelayed(x.record)
}
