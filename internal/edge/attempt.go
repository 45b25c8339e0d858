package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// slowTargetWait is the part of its remaining time up to which a request could wait at a target that is too slow for it.
const slowTargetWait = 4

// ResultAnswered is the result of an attempt whose target answered.
const ResultAnswered = "answered"

// failure describes an attempt without a complete response.
type failure struct {
	result retry.Result
	kind   ResultKind
	reason string
	// retryable is false if another target would refuse the request for the same reason.
	retryable bool
	// wait is the expected wait that the agent reported when it refused the request.
	wait time.Duration
	// refusedByTarget tells whether the target itself refused the request, rather than its agent.
	refusedByTarget bool
}

// exchange is one request to an agent and its response.
type exchange struct {
	request  *request
	choice   Choice
	pool     *relay.Pool
	conn     *relay.Conn
	response *http.Response
	id       string
	load     Load
	handle   Handle
	started  time.Time
}

// attempt sends the request to one target and delivers the response; it returns nil once the caller has the response.
func (q *request) attempt(ctx context.Context, c Choice) *failure {
	x := q.newExchange(c)
	var d *delivery
	f := q.startAttempt(c)
	if f == nil {
		f = x.send(ctx, nil)
	}
	if f == nil {
		f = q.saveErrorResponse(x)
	}
	if f == nil {
		d, f = q.deliver(ctx, x)
	}
	x.finish(f)
	x.recordAttempt(f)
	if f != nil && d != nil {
		f = q.resume(ctx, d, f)
	}
	q.endAttempt(f)
	return f
}

// startAttempt records the attempt at the key owner before the request is sent.
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

// newExchange prepares an exchange with the agent of a target and starts tracking it.
func (q *request) newExchange(c Choice) *exchange {
	x := &exchange{request: q, choice: c, pool: q.edge.pool(c.Candidate.Node.RelayAddress), started: time.Now()}
	if t := q.edge.config.Tracker; t != nil {
		x.handle = t.Start(TrackRequest{
			Target: c.Candidate.Target.Ref, Class: q.match.Route.Name,
			Idempotent: q.match.Route.Idempotent,
		})
	}
	return x
}

// finish reports the end of the exchange to the picker and the failure detector.
func (x *exchange) finish(f *failure) {
	kind := ResultOK
	switch {
	case f != nil:
		kind = f.kind
	case x.response != nil && x.response.StatusCode >= http.StatusInternalServerError:
		kind = ResultError
	}
	if x.handle != nil {
		x.handle.Finish(Result{Kind: kind, Duration: time.Since(x.started)})
	}
	x.request.edge.config.Picker.Done(x.choice, x.load)
	x.exclude(f)
}

// exclude rules the target out for further attempts, unless a reused connection failed before a response.
func (x *exchange) exclude(f *failure) {
	if f != nil && x.request.edge.config.NegotiateAdmission && f.result == retry.NotRun && !f.refusedByTarget {
		return // Left to recordRefusal.
	}
	if f != nil && f.kind == ResultPathFailure && x.response == nil && x.conn != nil && x.conn.Reused() {
		return
	}
	x.request.tried = append(x.request.tried, x.choice.Candidate.Target.Ref)
}

// send relays the request and reads the response header; part is nil unless the request resumes a download.
func (x *exchange) send(ctx context.Context, part *resumption) *failure {
	q := x.request
	conn, err := x.pool.Get(ctx, q.reuse)
	if err != nil {
		return x.connectFailure(ctx, err)
	}
	x.conn = conn
	x.response, err = conn.RoundTrip(ctx, x.relayRequest(part))
	if err != nil {
		return x.roundTripFailure(ctx, err)
	}
	if x.response.Header.Get(model.HeaderExchange) != x.id {
		conn.Close()
		x.pool.CloseIdle()
		x.log("response belongs to another exchange", nil)
		return &failure{result: retry.InDoubt, kind: ResultPathFailure, reason: "the answer was for another exchange", retryable: true}
	}
	if c := q.edge.config.Configurations; c != nil {
		if number, err := strconv.ParseUint(x.response.Header.Get(model.HeaderConfiguration), 10, 64); err == nil {
			c.ObserveAt(x.choice.Candidate.Node, number)
		}
	}
	if load, ok := relay.ParseLoad(x.response.Header.Get(model.HeaderLoad)); ok {
		x.load = Load{Load: load, Reported: true}
	}
	answered := model.Outcome(x.response.Header.Get(model.HeaderOutcome)) == model.OutcomeDone
	x.observeNotice(answered)
	if answered {
		x.load.IncludesRequest = true
		if x.response.Header.Get(model.HeaderFrames) != "" {
			x.response.Body = relay.NewFrameReader(x.response.Body)
		}
		return nil
	}
	return x.readRefusal()
}

// observeNotice records what the response says about its target, before the caller gets any of it.
func (x *exchange) observeNotice(answered bool) {
	notices := x.request.edge.config.Notices
	if notices == nil {
		return
	}
	h, ref := x.response.Header, x.choice.Candidate.Target.Ref
	if answered {
		notices.ObserveAnswer(ref, relay.ParseNotice(h), waitOf(h))
		return
	}
	var wait time.Duration
	if h.Get(model.HeaderReason) == relay.ReasonRateLimit {
		wait = waitOf(h)
	}
	notices.ObserveRefusal(ref, relay.ParseNotice(h), wait)
}

// waitOf returns the wait that the agent states, or zero.
func waitOf(h http.Header) time.Duration {
	wait, err := time.ParseDuration(h.Get(model.HeaderWait))
	if err != nil {
		return 0
	}
	return wait
}

func (x *exchange) relayRequest(part *resumption) *relay.Request {
	q := x.request
	target := relay.FormatTarget(x.choice.Candidate.Target.Ref)
	x.id = relay.NewExchange()
	fields := append(q.fields, relay.Field{Name: model.HeaderExchange, Value: x.id},
		relay.Field{Name: model.HeaderTarget, Value: target}, relay.Field{Name: model.HeaderTimeout, Value: q.remaining()})
	signature := q.edge.signer.Sign(relay.SignedFields{
		Exchange: x.id, Method: q.r.Method, URI: q.uri, Target: target, Key: q.attemptKey,
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
		StopAdmission: q.edge.admitting,
	}
	if !q.match.Route.Resumable {
		// A download is resumed from another target when its own pauses, so its edge needs to see the pause.
		fields = append(fields, relay.Field{Name: model.HeaderFrames, Value: "1"})
	}
	if q.edge.config.NegotiateAdmission {
		fields = q.addAdmissionFields(fields, x.choice)
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

// readRefusal converts the refusal of the agent into a failure.
func (x *exchange) readRefusal() *failure {
	h := x.response.Header
	f := &failure{result: retry.InDoubt, kind: ResultReset, reason: h.Get(model.HeaderReason), retryable: true}
	f.refusedByTarget = f.reason == relay.ReasonShed
	f.wait = waitOf(h)
	switch f.reason {
	case relay.ReasonUnhealthy:
		x.load.UnhealthyFor = f.wait
		if chance, err := strconv.ParseFloat(h.Get(model.HeaderChance), 64); err == nil {
			x.load.SuccessRatio = chance
		}
	case relay.ReasonUnknownTarget:
		x.load.Gone = true
	case relay.ReasonLeaving, relay.ReasonDraining:
		x.load.UnhealthyFor = leavingTargetPause
	case relay.ReasonNoSlot, relay.ReasonDeadline:
		x.load.NoSlot, x.load.ExpectedWait = f.wait > 0, f.wait
	}
	if model.Outcome(h.Get(model.HeaderOutcome)) == model.OutcomeNotRun {
		f.result, f.kind = retry.NotRun, ResultRefused
	}
	switch f.reason {
	case relay.ReasonPoison, relay.ReasonAccountShare:
		f.retryable = false
	case relay.ReasonDeadline:
		// With a short wait, it is the target that is too slow, and others may be faster. Long waits are those of an
		// overloaded service.
		f.retryable = f.wait > 0 && f.wait < time.Until(x.request.deadline)/slowTargetWait
	case relay.ReasonTimeout:
		f.kind, f.retryable = ResultTimeout, false
	case relay.ReasonSignature:
		x.log("agent refused the signature", nil)
	}
	x.conn.Discard(x.response)
	return f
}

// connectFailure describes a failure to connect to the agent; the request did not run.
func (x *exchange) connectFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return &failure{result: retry.NotRun, kind: ResultCanceled, reason: relay.ReasonDeadline}
	}
	x.pool.CloseIdle()
	x.log("agent unreachable", err)
	return &failure{result: retry.NotRun, kind: ResultPathFailure, reason: "the node of the target can't be reached", retryable: true}
}

// roundTripFailure describes a connection that failed before the response started.
func (x *exchange) roundTripFailure(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, relay.ErrNotSent), errors.Is(err, relay.ErrNotAdmitted) && ctx.Err() != nil:
		return &failure{result: retry.NotRun, kind: ResultCanceled, reason: relay.ReasonDeadline}
	case errors.Is(err, relay.ErrNotAdmitted) && x.request.edge.admitting.Err() != nil:
		return &failure{result: retry.NotRun, kind: ResultCanceled, reason: relay.ReasonLeaving}
	case errors.Is(err, relay.ErrNotAdmitted):
		x.pool.CloseIdle()
		x.log("agent did not admit the request", err)
		return &failure{result: retry.NotRun, kind: ResultPathFailure, reason: "the node of the target did not answer", retryable: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{result: retry.InDoubt, kind: ResultTimeout, reason: relay.ReasonTimeout}
	case ctx.Err() != nil:
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the caller went away"}
	case errors.Is(err, relay.ErrBody):
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the request body ended early"}
	}
	// Idle connections to the same agent use the same network path and have probably failed too.
	x.pool.CloseIdle()
	x.log("connection to agent broke", err)
	return &failure{result: retry.InDoubt, kind: ResultPathFailure, reason: "the connection to the target broke", retryable: true}
}

// recordAttempt adds the attempt to the record for the request log.
func (x *exchange) recordAttempt(f *failure) {
	if x.request.edge.config.RequestLogger == nil {
		return
	}
	try := AttemptRecord{
		Target: x.choice.Candidate.Target.Ref.ID, Node: x.choice.Candidate.Node.Ref.ID, Result: ResultAnswered,
		Patience: x.choice.Patience, Forced: x.choice.Forced, Duration: time.Since(x.started),
		Left: x.choice.Left, Tier: x.choice.Tier,
	}
	if try.Left != "" {
		try.Bytes = x.request.expectedBytes()
	}
	if f != nil {
		try.Result = f.reason
	}
	x.request.tries = append(x.request.tries, try)
}

func (x *exchange) log(event string, err error) {
	address := x.choice.Candidate.Node.RelayAddress
	suppressed, ok := x.request.edge.logLimiter.allow(time.Now(), logKey{event: event, address: address})
	if !ok {
		return
	}
	_ = level.Warn(x.request.edge.config.Logger).Log("msg", event, "exchange", x.id, "agent",
		x.choice.Candidate.Node.Ref.ID, "address", address, "target", x.choice.Candidate.Target.Ref.ID, "suppressed", suppressed,
		"err", err)
}
