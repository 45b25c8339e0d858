package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// failure is an attempt that gave no whole answer.
type failure struct {
	result retry.Result
	kind   ResultKind
	reason string
	// repeat is false when another target would refuse the request for the same reason.
	repeat bool
	// wait is the wait that the agent expected when it refused the request.
	wait time.Duration
	// arrived tells that the request reached a target, which refused it.
	arrived bool
}

// leg is one exchange with an agent.
type leg struct {
	request  *request
	choice   Choice
	pool     *relay.Pool
	conn     *relay.Conn
	response *http.Response
	exchange string
	load     Load
	handle   Handle
	started  time.Time
}

// attempt sends the request to one target and delivers the answer; it returns nil when the caller was answered.
func (q *request) attempt(ctx context.Context, c Choice) *failure {
	l := q.begin(c)
	var d *delivery
	f := q.startAttempt(c)
	if f == nil {
		f = l.send(ctx, nil)
	}
	if f == nil {
		f = q.setAside(l)
	}
	if f == nil {
		d, f = q.deliver(ctx, l)
	}
	l.finish(f)
	l.noteTry(f)
	if f != nil && d != nil {
		f = q.resume(ctx, d, f)
	}
	q.endAttempt(f)
	return f
}

// startAttempt records the attempt at the key owner before anything is sent.
func (q *request) startAttempt(c Choice) *failure {
	if !q.owned() {
		return nil
	}
	attempt, ok := q.edge.config.KeyOwner.StartAttempt(q.key, c.Candidate.Target.Ref, c.Candidate.Node)
	if !ok {
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the key may no longer run on this node"}
	}
	q.attemptKey = attempt
	return nil
}

func (q *request) endAttempt(f *failure) {
	switch {
	case f == nil:
		q.count(model.OutcomeDone)
		if q.owned() {
			q.edge.config.KeyOwner.FinishAttempt(q.key)
		}
		q.endKey(model.OutcomeDone)
	case f.result == retry.NotRun && q.owned():
		q.edge.config.KeyOwner.RefuseAttempt(q.key)
	case f.kind == ResultPathFailure:
		q.edge.counters.pathFailures.Add(1)
		q.reuse = relay.ConnNew
	}
}

// begin starts the leg to a target.
func (q *request) begin(c Choice) *leg {
	l := &leg{request: q, choice: c, pool: q.edge.pool(c.Candidate.Node.RelayAddress), started: time.Now()}
	if t := q.edge.config.Tracker; t != nil {
		l.handle = t.Start(TrackRequest{
			Target: c.Candidate.Target.Ref, Class: q.match.Route.Name,
			Idempotent: q.match.Route.Idempotent,
		})
	}
	return l
}

// finish reports the end of the leg to picker and detection.
func (l *leg) finish(f *failure) {
	kind := ResultOK
	switch {
	case f != nil:
		kind = f.kind
	case l.response != nil && l.response.StatusCode >= http.StatusInternalServerError:
		kind = ResultError
	}
	if l.handle != nil {
		l.handle.Finish(Result{Kind: kind, Duration: time.Since(l.started)})
	}
	l.request.edge.config.Picker.Done(l.choice, l.load)
	l.exclude(f)
}

// exclude keeps the target from further attempts, unless only a reused connection to it failed before an answer.
func (l *leg) exclude(f *failure) {
	if f != nil && l.request.edge.config.NegotiateAdmission && f.result == retry.NotRun && !f.arrived {
		return // noteRefusal decides.
	}
	if f != nil && f.kind == ResultPathFailure && l.response == nil && l.conn != nil && l.conn.Reused() {
		return
	}
	l.request.tried = append(l.request.tried, l.choice.Candidate.Target.Ref)
}

// send relays the request and reads the header of the answer.
// part is nil but for the rest of a download.
func (l *leg) send(ctx context.Context, part *resumption) *failure {
	q := l.request
	conn, err := l.pool.Get(ctx, q.reuse)
	if err != nil {
		return l.notSent(ctx, err)
	}
	l.conn = conn
	l.response, err = conn.RoundTrip(ctx, l.relayed(part))
	if err != nil {
		return l.broken(ctx, err)
	}
	if l.response.Header.Get(model.HeaderExchange) != l.exchange {
		conn.Close()
		l.pool.CloseIdle()
		l.log("answer belongs to another exchange", nil)
		return &failure{result: retry.InDoubt, kind: ResultPathFailure, reason: "the answer was for another exchange", repeat: true}
	}
	if c := q.edge.config.Configurations; c != nil {
		if number, err := strconv.ParseUint(l.response.Header.Get(model.HeaderConfiguration), 10, 64); err == nil {
			c.Observe(number)
		}
	}
	if load, ok := relay.ParseLoad(l.response.Header.Get(model.HeaderLoad)); ok {
		l.load = Load{Load: load, Reported: true}
	}
	if model.Outcome(l.response.Header.Get(model.HeaderOutcome)) == model.OutcomeDone {
		l.load.IncludesRequest = true
		return nil
	}
	return l.refused()
}

func (l *leg) relayed(part *resumption) *relay.Request {
	q := l.request
	target := relay.FormatTarget(l.choice.Candidate.Target.Ref)
	l.exchange = relay.NewExchange()
	fields := append(q.fields, relay.Field{Name: model.HeaderExchange, Value: l.exchange},
		relay.Field{Name: model.HeaderTarget, Value: target}, relay.Field{Name: model.HeaderTimeout, Value: q.remaining()})
	signature := q.edge.signer.Sign(relay.SignedFields{
		Exchange: l.exchange, Method: q.r.Method, URI: q.uri, Target: target, Key: q.attemptKey,
	})
	if q.attemptKey != "" {
		fields = append(fields, relay.Field{Name: model.HeaderKey, Value: q.attemptKey})
	}
	if signature != "" {
		fields = append(fields, relay.Field{Name: model.HeaderSignature, Value: signature})
	}
	r := &relay.Request{
		Method: q.r.Method, URI: q.uri, Host: q.r.Host, Header: q.r.Header, Omit: q.omit,
		ReusedHeaderTimeout: q.edge.config.ReusedHeaderTimeout, HeaderTimeout: q.edge.config.HeaderTimeout,
	}
	if q.edge.config.NegotiateAdmission {
		fields = q.negotiated(fields, l.choice)
	}
	if part != nil {
		fields = part.apply(r, fields)
	}
	r.Fields = fields
	q.body.attach(r)
	if q.edge.config.NegotiateAdmission && !q.match.Route.Idempotent {
		q.body.attachAfterAdmission(r)
	}
	return r
}

// refused reads the refusal of the agent.
func (l *leg) refused() *failure {
	h := l.response.Header
	f := &failure{result: retry.InDoubt, kind: ResultReset, reason: h.Get(model.HeaderReason), repeat: true}
	f.arrived = f.reason == relay.ReasonShed
	if wait, err := time.ParseDuration(h.Get(model.HeaderWait)); err == nil {
		f.wait = wait
	}
	switch f.reason {
	case relay.ReasonUnhealthy:
		l.load.UnhealthyFor = f.wait
		if chance, err := strconv.ParseFloat(h.Get(model.HeaderChance), 64); err == nil {
			l.load.SuccessRatio = chance
		}
	case relay.ReasonUnknownTarget, relay.ReasonLeaving, relay.ReasonDraining:
		l.load.UnhealthyFor = goneRest
	}
	if model.Outcome(h.Get(model.HeaderOutcome)) == model.OutcomeNotRun {
		f.result, f.kind = retry.NotRun, ResultRefused
	}
	switch f.reason {
	case relay.ReasonPoison, relay.ReasonAccountShare, relay.ReasonDeadline:
		f.repeat = false
	case relay.ReasonTimeout:
		f.kind, f.repeat = ResultTimeout, false
	case relay.ReasonSignature:
		l.log("agent refused the signature", nil)
	}
	if _, err := io.Copy(io.Discard, l.response.Body); err != nil {
		l.conn.Close()
		return f
	}
	l.conn.Release()
	return f
}

// notSent reports that the agent could not be reached, so that the request did not run.
func (l *leg) notSent(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return &failure{result: retry.NotRun, kind: ResultCanceled, reason: relay.ReasonDeadline}
	}
	l.pool.CloseIdle()
	l.log("agent unreachable", err)
	return &failure{result: retry.NotRun, kind: ResultPathFailure, reason: "the node of the target can't be reached", repeat: true}
}

// broken reports that the connection ended before the answer started.
func (l *leg) broken(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, relay.ErrNotSent), errors.Is(err, relay.ErrNotAdmitted) && ctx.Err() != nil:
		return &failure{result: retry.NotRun, kind: ResultCanceled, reason: relay.ReasonDeadline}
	case errors.Is(err, relay.ErrNotAdmitted):
		l.pool.CloseIdle()
		l.log("agent did not admit the request", err)
		return &failure{result: retry.NotRun, kind: ResultPathFailure, reason: "the node of the target did not answer", repeat: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{result: retry.InDoubt, kind: ResultTimeout, reason: relay.ReasonTimeout}
	case ctx.Err() != nil:
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the caller went away"}
	case errors.Is(err, relay.ErrBody):
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the request body ended early"}
	}
	// The siblings of a broken or silent connection go through the same path.
	l.pool.CloseIdle()
	l.log("connection to agent broke", err)
	return &failure{result: retry.InDoubt, kind: ResultPathFailure, reason: "the connection to the target broke", repeat: true}
}

// noteTry keeps the attempt for the journal.
func (l *leg) noteTry(f *failure) {
	if l.request.edge.config.RequestLogger == nil {
		return
	}
	try := AttemptRecord{
		Target: l.choice.Candidate.Target.Ref.ID, Node: l.choice.Candidate.Node.Ref.ID, Result: "answered",
		Patience: l.choice.Patience, Forced: l.choice.Forced, Duration: time.Since(l.started),
	}
	if f != nil {
		try.Result = f.reason
	}
	l.request.tries = append(l.request.tries, try)
}

func (l *leg) log(event string, err error) {
	address := l.choice.Candidate.Node.RelayAddress
	suppressed, ok := l.request.edge.repeats.next(time.Now(), repeatKey{event: event, address: address})
	if !ok {
		return
	}
	_ = level.Warn(l.request.edge.config.Logger).Log("msg", event, "exchange", l.exchange, "agent",
		l.choice.Candidate.Node.Ref.ID, "address", address, "target", l.choice.Candidate.Target.Ref.ID, "suppressed", suppressed,
		"err", err)
}
