package agent

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// firstInterimDelay is the time after which the edge is told that the request is queued or admitted, unless the
	// response has started. It is well below the 500 ms after which an edge considers a reused connection silent.
	// Sending it at once would cost each request a write and a wake-up of the edge.
	firstInterimDelay = 100 * time.Millisecond
	// retryAfterBusy is the smallest value that Retry-After can express.
	retryAfterBusy = time.Second
	// deadlineSlack is the time by which the deadlines of edge and agent may differ.
	deadlineSlack = 100 * time.Millisecond
	// defaultTimeout applies to a request whose edge states no timeout.
	defaultTimeout = time.Hour
)

// exchange is one relayed request.
type exchange struct {
	agent    *Agent
	w        http.ResponseWriter
	r        *http.Request
	local    *localTarget
	handle   Handle
	key      string
	route    string
	started  time.Time
	deadline time.Time
	interim  interimSender
	suspect  Suspect
	class    relay.Class
	// negotiated means that the edge has stated class and patience.
	negotiated bool
	// source is the body of the request, if it has one; buffered is its start when it was read before the request ran.
	source   *relay.InboundBody
	buffered *bufferedBody
	// upload is the body's share of what the target may hold.
	upload *upload
	// record is for the request logger.
	record RequestRecord
	// holdsSuspectRun means that this request has set Agent.suspectRuns.
	holdsSuspectRun bool
	// trialGranted means that this request runs as a granted trial, counted that it is among the running ones.
	trialGranted bool
	counted      bool
	// abort makes the server close the connection without completing the response.
	abort bool
}

// ServeHTTP serves a request that an edge relays.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	x := &exchange{agent: a, w: w, r: r, key: r.Header.Get(model.HeaderKey), route: r.Header.Get(model.HeaderRoute)}
	x.started = a.config.Clock.Now()
	defer x.logRequest()
	x.interim = interimSender{w: w, interval: a.config.InterimInterval}
	w.Header()[model.HeaderExchange] = r.Header[model.HeaderExchange]
	a.exchangeConfigNumbers(w.Header(), r.Header)
	defer x.cleanUp()
	if refusal := x.check(); refusal != "" {
		x.refuse(refusal, model.OutcomeNotRun)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.serve(ctx)
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) cleanUp() {
	x.uncountRunning()
	if x.holdsSuspectRun {
		x.agent.suspectRuns.Store(false)
	}
}

// check returns the reason to refuse the request, or an empty string.
func (x *exchange) check() string {
	h := x.r.Header
	text := h.Get(model.HeaderTarget)
	err := x.agent.signer.Verify(relay.SignedFields{
		Exchange: h.Get(model.HeaderExchange), Method: x.r.Method, URI: x.r.RequestURI, Target: text, Key: x.key,
	}, h.Get(model.HeaderSignature))
	if err != nil {
		_ = level.Warn(x.agent.config.Logger).Log("msg", "relayed request refused", "peer", x.r.RemoteAddr, "err", err)
		return relay.ReasonSignature
	}
	if x.agent.leaving.Load() {
		return relay.ReasonLeaving
	}
	ref, ok := relay.ParseTarget(text)
	if !ok || !x.parseTimeout(h.Get(model.HeaderTimeout)) {
		_ = level.Warn(x.agent.config.Logger).Log("msg", "relayed request is malformed", "peer", x.r.RemoteAddr,
			"target", text, "timeout", h.Get(model.HeaderTimeout))
		return relay.ReasonBadRequest
	}
	x.negotiated = h.Get(model.HeaderClass) != ""
	if x.class, ok = relay.ParseClass(h.Get(model.HeaderClass)); !ok {
		return relay.ReasonBadRequest
	}
	x.record.Target = ref
	x.local = x.agent.registry.find(ref.Service, ref.ID)
	if x.local == nil || x.local.target.Ref != ref {
		return relay.ReasonUnknownTarget
	}
	return x.checkLocal(ref)
}

func (x *exchange) checkLocal(ref model.TargetRef) string {
	x.agent.adoptNotice(x.local, relay.ParseNotice(x.r.Header))
	if x.local.shared.draining.Load() {
		return relay.ReasonDraining
	}
	x.suspect = Suspect{Service: ref.Service, Idempotent: x.class.Idempotent || x.agent.idempotent(ref.Service, x.route)}
	if text := x.r.Header.Get(model.HeaderFingerprint); text != "" {
		fingerprint, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return relay.ReasonBadRequest
		}
		x.suspect.Fingerprint, x.record.Fingerprint = fingerprint, fingerprint
		if text := x.r.Header.Get(model.HeaderCrashes); text != "" {
			known, ok := relay.ParseCrashes(text)
			if !ok {
				return relay.ReasonBadRequest
			}
			x.suspect.KnownCrashes = known
		}
		return x.checkPoison()
	}
	return ""
}

// checkPoison refuses a quarantined request before it takes a slot; mayRun decides about all others.
func (x *exchange) checkPoison() string {
	p := x.agent.config.PoisonDetector
	if p != nil && p.Verdict(x.suspect.Service, x.suspect.Fingerprint) == PoisonQuarantined {
		return relay.ReasonPoison
	}
	return ""
}

func (x *exchange) parseTimeout(text string) bool {
	x.deadline = x.started.Add(defaultTimeout)
	if text == "" {
		return true
	}
	timeout, err := time.ParseDuration(text)
	x.deadline = x.started.Add(timeout)
	return err == nil
}

func (x *exchange) serve(ctx context.Context) {
	x.interim.start(firstInterimDelay)
	defer x.interim.end()
	permit, err := x.local.limiter.Acquire(ctx, x.admitRequest())
	x.record.Waited = x.agent.config.Clock.Now().Sub(x.started)
	if err != nil {
		x.setWaitHeaders(err)
		x.refuse(refusalOf(err), model.OutcomeNotRun)
		return
	}
	// Until the request is sent to the target, its outcome says nothing about the target.
	result := Result{Kind: ResultCanceled}
	defer func() { permit.Release(result) }()
	if reason := x.leavingReason(); reason != "" {
		x.refuse(reason, model.OutcomeNotRun)
		return
	}
	upload, ok := x.local.shared.uploads.begin(x.agent.config.MaxUploadBytes, x.r.ContentLength)
	if !ok {
		x.refuse(relay.ReasonNoSlot, model.OutcomeNotRun)
		return
	}
	defer upload.end()
	x.upload = upload
	if !x.confirm(ctx) {
		x.refuse(relay.ReasonUnconfirmed, model.OutcomeNotRun)
		return
	}
	defer x.buffered.release()
	conn, err := x.local.pool.Get(ctx, relay.ConnAny)
	if err != nil {
		if ctx.Err() == nil {
			result.Kind = ResultNotSent
		}
		x.handleNotSent(ctx, err)
		return
	}
	if ctx.Err() != nil {
		conn.ReleaseUnused()
		x.refuse(relay.ReasonDeadline, model.OutcomeNotRun)
		return
	}
	if x.agent.pauses.resumedRecently() {
		conn.ReleaseUnused()
		x.refuse(relay.ReasonResumed, model.OutcomeNotRun)
		return
	}
	if refusal := x.mayRun(ctx); refusal != "" {
		conn.ReleaseUnused()
		x.refuse(refusal, model.OutcomeNotRun)
		return
	}
	// The key is marked as seen only when the request is handed to the target.
	if x.tracksKey() && !x.agent.config.KeyLedger.Admit(x.key) {
		conn.ReleaseUnused()
		x.refuse(relay.ReasonKeySeen, model.OutcomeUnknown)
		return
	}
	result = x.run(ctx, conn)
	x.endTrial(result.Kind)
}

// tracksKey reports whether the key ledger tracks the key; idempotent requests may run several times.
func (x *exchange) tracksKey() bool {
	return x.key != "" && x.agent.config.KeyLedger != nil && !x.suspect.Idempotent
}

// run sends the request to the target and streams the response.
func (x *exchange) run(ctx context.Context, conn *relay.Conn) Result {
	x.local.shared.inFlight.Add(1)
	defer x.local.shared.inFlight.Add(-1)
	if t := x.agent.config.Tracker; t != nil {
		x.handle = t.Start(TrackRequest{Target: x.local.target.Ref, Route: x.route, Idempotent: x.suspect.Idempotent})
	}
	x.sendContinue()
	begin := x.agent.config.Clock.Now()
	id := x.agent.config.Protocol.ID(x.r)
	x.agent.parents.begin(id, x.account(), x.class)
	kind := x.forward(ctx, conn)
	if x.agent.parents.end(id) && (kind == ResultError || kind == ResultOverdue) {
		kind = ResultCallFailed
	}
	if s := x.agent.config.CrashCounter; s != nil && kind == ResultOK && x.record.Status < http.StatusMultipleChoices {
		s.RequestSucceeded(x.suspect.Fingerprint)
	}
	result := Result{Kind: kind, Duration: x.agent.config.Clock.Now().Sub(begin), Sent: true}
	x.record.Ran = result.Duration
	if x.handle != nil {
		x.handle.Finish(result)
	}
	return result
}

// sendContinue tells an edge that waits with the body that the request is admitted.
func (x *exchange) sendContinue() {
	if x.r.Header.Get("Expect") != "" && x.buffered == nil {
		x.interim.sendStatus(http.StatusContinue)
	}
}

func (x *exchange) forward(ctx context.Context, conn *relay.Conn) ResultKind {
	if x.r.ContentLength != 0 {
		// The target may respond before it has read the whole body.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	response, err := conn.RoundTrip(ctx, x.request())
	if err != nil {
		return x.handleBroken(ctx, err)
	}
	verdict := x.agent.config.Protocol.Verdict(response)
	if verdict == VerdictOK || verdict == VerdictShed {
		x.observeNotice(response)
	}
	switch verdict {
	case VerdictShed:
		return x.shed(conn, response)
	case VerdictWrongTarget:
		return x.targetReplaced(conn)
	case VerdictInvalid:
		conn.Close()
		return x.handleBroken(ctx, relay.ErrBroken)
	default:
		return x.respond(ctx, conn, response)
	}
}

func (x *exchange) request() *relay.Request {
	r := &relay.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: x.r.Header, ContentLength: x.r.ContentLength,
	}
	protocol := x.agent.config.Protocol
	r.Fields, r.Omit = protocol.Header(x.r, x.local.target.Ref, time.Until(x.deadline))
	r.Accept = func(response *http.Response) bool { return protocol.Matches(x.r, response) }
	if x.buffered != nil {
		x.buffered.attach(r)
	} else if x.r.ContentLength != 0 {
		x.source = relay.NewInboundBody(x.w, x.r.Body)
		r.Body, r.InboundBody = x.source, x.source
	}
	if x.r.ContentLength < 0 && r.Body != nil && x.agent.config.MaxUploadBytes > 0 {
		r.Body = &uploadReader{Reader: r.Body, upload: x.upload}
	}
	return r
}

// handleNotSent responds that no connection to the target could be made, so that the request did not run.
func (x *exchange) handleNotSent(ctx context.Context, err error) {
	if ctx.Err() != nil {
		x.refuse(relay.ReasonDeadline, model.OutcomeNotRun)
		return
	}
	_ = level.Warn(x.agent.config.Logger).Log("msg", "target unreachable", "service", x.local.target.Ref.Service,
		"target", x.local.target.Ref.ID, "err", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		x.agent.removeTarget(x.local, refusesConnections)
		x.agent.reportCrash(x.local)
	}
	x.refuse(relay.ReasonUnreachable, model.OutcomeNotRun)
}

// handleBroken responds to a request that was sent and got no response.
func (x *exchange) handleBroken(ctx context.Context, err error) ResultKind {
	if errors.Is(err, relay.ErrNotSent) {
		x.releaseKey()
		x.refuse(relay.ReasonDeadline, model.OutcomeNotRun)
		return ResultCanceled
	}
	x.failKey()
	switch {
	case x.timedOut(ctx):
		x.abandon()
		x.refuse(relay.ReasonTimeout, model.OutcomeUnknown)
		return ResultTimeout
	case ctx.Err() != nil:
		x.abandon()
		x.refuse(relay.ReasonBroken, model.OutcomeUnknown)
		return ResultCanceled
	case errors.Is(err, relay.ErrBody):
		x.refuse(relay.ReasonBadRequest, model.OutcomeUnknown)
		return ResultCanceled
	}
	_ = level.Warn(x.agent.config.Logger).Log("msg", "target broke off", "service", x.local.target.Ref.Service,
		"target", x.local.target.Ref.ID, "err", err)
	if x.agent.crashed(x) {
		x.refuse(relay.ReasonCrashed, model.OutcomeUnknown)
		return ResultCrashed
	}
	x.refuse(relay.ReasonBroken, model.OutcomeUnknown)
	return ResultReset
}

// timedOut reports whether the request timed out. The edge closes the connection at the same deadline, which must not
// look like a caller that went away.
func (x *exchange) timedOut(ctx context.Context) bool {
	return ctx.Err() != nil && time.Until(x.deadline) < deadlineSlack
}

// releaseKey removes the key when no part of the request was written, so that a retry may come here again.
func (x *exchange) releaseKey() {
	if x.tracksKey() {
		x.agent.config.KeyLedger.Release(x.key)
	}
}

func (x *exchange) abandon() {
	x.local.shared.abandon(abandonedRequest{suspect: x.suspect, at: x.agent.config.Clock.Now(), deadline: x.deadline})
}

func (x *exchange) failKey() {
	if x.tracksKey() {
		x.agent.config.KeyLedger.Fail(x.key)
	}
}

// refuse responds that there is no response from the target, with the reason for the edge.
func (x *exchange) refuse(reason string, outcome model.Outcome) {
	x.interim.end()
	x.record.Outcome, x.record.Reason, x.record.Status = outcome, reason, http.StatusServiceUnavailable
	x.w.Header()[model.HeaderReason] = []string{reason}
	if x.local != nil {
		x.w.Header()[model.HeaderLoad] = []string{x.local.limiter.Load().String()}
		x.local.shared.notice.current().Set(x.w.Header())
	}
	if x.closesConn() {
		x.w.Header()["Connection"] = []string{"close"}
	}
	relay.WriteRefusal(x.w, relay.Refusal{
		Status:     http.StatusServiceUnavailable,
		Answer:     model.Answer{Outcome: outcome, Reason: reason, Remedy: "the edge decides on another attempt"},
		RetryAfter: retryAfterBusy,
	})
}

// reasonError is an error of the limiter that carries the reason for the edge.
type reasonError interface {
	Reason() string
}

func refusalOf(err error) string {
	var r reasonError
	switch {
	case errors.As(err, &r):
		return r.Reason()
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return relay.ReasonDeadline
	default:
		return relay.ReasonNoSlot
	}
}
