package agent

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// admitRequest returns what the limiter needs to know about the request.
func (x *exchange) admitRequest() AdmitRequest {
	h := x.r.Header
	r := AdmitRequest{
		Account: x.account(), Deadline: x.deadline, Route: x.route, Class: x.class,
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

// account returns the client account with whose requests this one takes turns, or "".
func (x *exchange) account() string {
	if account := x.r.Header.Get(model.HeaderAccount); account != "" {
		return account
	}
	return x.r.Header.Get(model.HeaderParentAccount)
}

// waitError is an error of the limiter that tells how long the request would wait.
type waitError interface {
	ExpectedWait() time.Duration
	// SuccessRatio is the share of its latest requests that an unhealthy target served; it is 0 for other refusals.
	SuccessRatio() float64
}

// setWaitHeaders tells the edge how long the request would have waited here. Interim responses read the header map, so
// they are stopped first.
func (x *exchange) setWaitHeaders(err error) {
	x.interim.end()
	var w waitError
	if errors.As(err, &w) {
		x.w.Header()[model.HeaderWait] = []string{w.ExpectedWait().Round(time.Millisecond).String()}
		if chance := w.SuccessRatio(); chance > 0 {
			x.w.Header()[model.HeaderChance] = []string{strconv.FormatFloat(chance, 'f', 2, 64)}
		}
	}
}

// exchangeConfigNumbers tells the edge the number of the configuration in force here, and observes the number in force
// there.
func (a *Agent) exchangeConfigNumbers(response, request http.Header) {
	c := a.config.Configurations
	if c == nil {
		return
	}
	if number, err := strconv.ParseUint(request.Get(model.HeaderConfiguration), 10, 64); err == nil {
		c.Observe(number)
	}
	response[model.HeaderConfiguration] = []string{strconv.FormatUint(c.Number(), 10)}
}

// leavingReason returns the reason to refuse a request whose target or node began to shut down while it waited.
func (x *exchange) leavingReason() string {
	switch {
	case x.local.shared.draining.Load():
		return relay.ReasonDraining
	case x.agent.leaving.Load():
		return relay.ReasonLeaving
	default:
		return ""
	}
}

// shed refuses the request on behalf of the target, which did not run it.
func (x *exchange) shed(conn *relay.Conn, response *http.Response) ResultKind {
	conn.Discard(response)
	x.releaseKey()
	x.refuse(relay.ReasonShed, model.OutcomeNotRun)
	return ResultShed
}

// targetReplaced removes a target whose address now belongs to another one.
func (x *exchange) targetReplaced(conn *relay.Conn) ResultKind {
	conn.Close()
	x.releaseKey()
	x.agent.removeTarget(x.local, "another target has the address")
	x.refuse(relay.ReasonUnknownTarget, model.OutcomeNotRun)
	return ResultShed
}

// logRequest passes the outcome of the request to the request logger.
func (x *exchange) logRequest() {
	journal := x.agent.config.RequestLogger
	if journal == nil {
		return
	}
	x.record.Class, x.record.Account = x.class, x.account()
	x.record.ID = x.agent.config.Protocol.ID(x.r)
	if x.local != nil {
		x.record.Load, x.record.Notice = x.local.limiter.Load(), x.local.shared.notice.current()
	}
	if x.record.Outcome == "" {
		x.record.Outcome = model.OutcomeDone
		if x.abort {
			x.record.Outcome = model.OutcomeUnknown
		}
	}
	journal.LogRelayed(x.record)
}
