package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxFields are the headers that the edge adds to a relayed request.
const maxFields = 8

// maxCrashes bounds the targets that one request may take down.
const maxCrashes = 2

// request is one request of a caller.
type request struct {
	edge    *Edge
	w       http.ResponseWriter
	r       *http.Request
	match   router.Match
	service *view.Service
	body    body
	uri     string
	key     string
	// attemptKey is the value of Auburnwinch-Key for the current attempt.
	attemptKey string
	// fields are the headers that all attempts share.
	fields   []relay.Field
	deadline time.Time
	tried    []model.TargetRef
	attempts int
	reuse    relay.Reuse
	// doubted tells that an earlier attempt may have run, so that no answer may say not-run any more.
	doubted bool
	// limited is set while writes to the caller have a deadline.
	limited *http.ResponseController
	// fingerprint identifies the request for the detection of poison requests; crashes counts targets that died.
	fingerprint uint64
	crashes     int
	// knownCrashes is what was known of crashes under the request when it arrived.
	knownCrashes model.Crashes
	// sentHeader tells that the caller has received the header of an answer.
	sentHeader bool
	// omit are headers of the caller that targets do not get.
	omit []string
	// parent is the id of the request whose target waits for the answer; derived tells that it runs as a repeat, and advanced
	// that another call of it was served.
	parent   string
	derived  bool
	advanced bool
	// rank is that of the route, or of the request that waits for the answer.
	rank int
	// refused are the refusals of agents that may take the request later; asks counts all refusals.
	refused        []AgentRefusal
	asks           int
	budgetRefusals int
	// kept is the failure that a target answered to an earlier attempt.
	kept *keptAnswer
	// began, tries, number and answered are for the journal.
	began    time.Time
	tries    []AttemptRecord
	number   uint64
	answered relay.Refusal
	status   int
	// abort makes the server close the connection without ending the answer.
	abort bool
}

func (q *request) serve() {
	if refusal, ok := q.prepare(); !ok {
		q.refuseEarly(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(q.edge.ending, cancel)()
	defer q.body.release()
	if err := q.body.read(q.w, q.r, q.deadline); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			q.refuseEarly(BodyTooLarge())
			return
		}
		q.refuseEarly(notRun(http.StatusBadRequest, "the request body is shorter than announced, malformed or too slow", remedyFix))
		return
	}
	defer q.watchLeave(cancel)()
	q.prepareHeader()
	if !q.beginKey(ctx) {
		return
	}
	// The owner of the key is asked first: an earlier send of the key may have run, and then nothing is a certain not-run.
	// A node that has just started learns of quarantines and of targets by the same records.
	q.awaitStart(q.hasTarget)
	if p := q.edge.config.PoisonDetector; p != nil && p.Quarantined(q.match.Service, q.fingerprint) {
		q.refuseAttempts(poisoned())
		return
	}
	q.edge.counters.requests.Add(1)
	q.edge.budget(q.match.Service).Deposit()
	q.run(ctx)
	if q.limited != nil {
		// The next request on the connection has a deadline of its own.
		_ = q.limited.SetWriteDeadline(time.Time{})
	}
}

// prepare finds route, service and deadline.
func (q *request) prepare() (relay.Refusal, bool) {
	q.awaitStart(q.configured)
	table, current := q.edge.routes.Load(), q.edge.config.View.Load()
	if table == nil || current == nil {
		return notRun(http.StatusServiceUnavailable, "this node has no configuration yet", remedyLater), false
	}
	match, err := table.Match(q.r.Host, q.path(), q.r.Method)
	if err != nil {
		return q.noRoute(err), false
	}
	if len(match.Route.Split) > 0 {
		match.Service = router.PickService(match.Route.Split, rand.Float64())
	}
	q.match, q.number = match, table.Number()
	if q.uri = q.r.RequestURI; q.uri == "" || q.uri[0] != '/' {
		// A caller may send the absolute form; targets get the usual one.
		q.uri = q.r.URL.RequestURI()
	}
	if q.service = current.Service(match.Service); q.service == nil {
		return notRun(http.StatusServiceUnavailable, "the service of this route is not in force yet", remedyLater), false
	}
	timeout := time.Duration(match.Route.Timeout)
	orDefault(&timeout, q.edge.config.DefaultTimeout)
	own, err := q.edge.config.Protocol.Timeout(q.r)
	if err != nil {
		return notRun(http.StatusBadRequest, err.Error(), remedyFix), false
	}
	if own > 0 {
		timeout = min(timeout, own)
	}
	q.deadline = q.began.Add(timeout)
	q.parent = q.edge.config.Protocol.Parent(q.r)
	q.rank = match.Route.Rank
	if parents := q.edge.config.Parents; parents != nil && q.parent != "" {
		if parent, ok := parents.Parent(q.parent); ok {
			q.rank, q.derived, q.advanced = parent.Rank, parent.Retry, parent.HasProgress
		}
	}
	return relay.Refusal{}, true
}

// path returns the path by which the request is routed. Literal prefixes are compared with the bytes that the caller
// sent.
func (q *request) path() string {
	if !q.edge.config.NegotiateAdmission {
		return q.r.URL.Path
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if path == "" || path[0] != '/' {
		return q.r.URL.EscapedPath()
	}
	return path
}

func (q *request) noRoute(err error) relay.Refusal {
	_ = level.Info(q.edge.config.Logger).Log("msg", "no route", "host", q.r.Host, "path", q.r.URL.Path, "method",
		q.r.Method, "err", err)
	switch {
	case errors.Is(err, router.ErrMethod):
		return notRun(http.StatusMethodNotAllowed, "the route does not accept this method", remedyFix)
	case errors.Is(err, router.ErrPath):
		return notRun(http.StatusBadRequest, "the path holds dot segments", remedyFix)
	default:
		return notRun(http.StatusNotFound, "no route matches host and path", remedyFix)
	}
}

// prepareHeader builds the part of the relayed header that all attempts share.
func (q *request) prepareHeader() {
	q.fields = make([]relay.Field, 0, maxFields)
	q.addField(model.HeaderRoute, q.match.Route.Name)
	add, omit := q.edge.config.Protocol.Header(q.r)
	q.fields, q.omit = append(q.fields, add...), omit
	if account := q.r.Header[model.HeaderAccount]; len(account) > 0 {
		q.addField(model.HeaderAccount, account[0])
	}
	if p := q.edge.config.PoisonDetector; p != nil {
		q.fingerprint = p.Fingerprint(PoisonRequest{
			Host: q.r.Host, Service: q.match.Service, Method: q.r.Method, Path: q.r.URL.Path, Query: q.r.URL.RawQuery,
			Body: q.body.held,
		})
		q.addField(model.HeaderFingerprint, strconv.FormatUint(q.fingerprint, 16))
	}
	if c := q.edge.config.CrashCounter; c != nil {
		q.knownCrashes = c.Crashes(q.fingerprint)
	}
}

func (q *request) addField(name, value string) {
	q.fields = append(q.fields, relay.Field{Name: name, Value: value})
}

// run sends attempts until one is answered or no further one is permitted.
func (q *request) run(ctx context.Context) {
	for {
		choice, err := q.edge.config.Picker.Pick(PickRequest{
			Service: q.service, Route: q.match.Route, Idempotent: q.match.Route.Idempotent, Tried: q.tried,
			Refusals: q.refused, Remaining: time.Until(q.deadline), Bytes: q.expectedBytes(),
		})
		if err != nil {
			q.refuseAttempts(q.noTarget())
			return
		}
		q.attempts++
		f := q.attempt(ctx, choice)
		if f == nil || q.resolve(ctx, f) {
			return
		}
		q.noteRefusal(f, choice)
		q.doubted = q.doubted || f.result == retry.InDoubt
		if q.poisoned(f) && !q.sentHeader {
			q.refuseAttempts(poisoned())
			return
		}
		if !q.mayRepeat(ctx, f) {
			q.giveUp(ctx, f)
			return
		}
	}
}

// poisoned reports whether the request must not be sent again because targets crashed while they ran it.
func (q *request) poisoned(f *failure) bool {
	if f.reason == relay.ReasonCrashed {
		q.crashes++
	}
	p := q.edge.config.PoisonDetector
	return q.crashes >= maxCrashes || p != nil && p.Quarantined(q.match.Service, q.fingerprint)
}

func (q *request) mayRepeat(ctx context.Context, f *failure) bool {
	if q.edge.config.NegotiateAdmission {
		return q.mayAskAgain(ctx, f)
	}
	allowed := f.repeat && retry.Allowed(retry.Attempt{
		Number: q.attempts, Result: f.result, Idempotent: q.match.Route.Idempotent, BodyHeld: q.body.repeatable(),
		Answered: q.sentHeader,
	})
	if !allowed || ctx.Err() != nil || !q.edge.budget(q.match.Service).Withdraw() {
		return false
	}
	q.edge.counters.retries.Add(1)
	return true
}

// giveUp answers for the last attempt.
func (q *request) giveUp(ctx context.Context, f *failure) {
	switch {
	case q.sentHeader:
		q.endKey(model.OutcomeUnknown)
		q.edge.counters.broken.Add(1)
		q.abort = true
	case f.result == retry.NotRun:
		q.refuseAttempts(ofAgent(f.reason))
	case q.kept != nil:
		q.kept.deliver(q)
	default:
		q.endKey(model.OutcomeUnknown)
		q.refuse(q.inDoubt(ctx, f))
	}
}

// refuseAttempts answers not-run, or unknown when an earlier attempt is in doubt.
func (q *request) refuseAttempts(r relay.Refusal) {
	if q.doubted {
		r.Answer.Outcome, r.Answer.Remedy = model.OutcomeUnknown, q.remedyInDoubt()
		if r.Status != http.StatusUnprocessableEntity {
			r.Status = http.StatusBadGateway
		}
	}
	q.endKey(r.Answer.Outcome)
	if q.kept != nil && !q.sentHeader {
		q.kept.deliver(q)
		return
	}
	q.refuse(r)
}

// refuseEarly answers before the owner of the key was asked. With a key the answer can't say not-run: an earlier send may
// have run through a node that has another configuration or got the whole request.
func (q *request) refuseEarly(r relay.Refusal) {
	idempotent := q.match.Route != nil && q.match.Route.Idempotent
	if q.r.Header.Get(model.HeaderIdempotencyKey) != "" && !idempotent {
		r.Answer.Outcome = model.OutcomeUnknown
		if r.Status == http.StatusServiceUnavailable {
			r.Status, r.Answer.Remedy = http.StatusBadGateway, remedyUnknown
		}
	}
	q.refuse(r)
}

func (q *request) remedyInDoubt() string {
	if q.match.Route.Idempotent {
		return remedyResend
	}
	return remedyUnknown
}

func (q *request) inDoubt(ctx context.Context, f *failure) relay.Refusal {
	remedy := q.remedyInDoubt()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || f.reason == relay.ReasonTimeout {
		return unknown(http.StatusGatewayTimeout, "the time of the request ran out", remedy)
	}
	return unknown(http.StatusBadGateway, f.reason, remedy)
}

func (q *request) refuse(r relay.Refusal) {
	invar.Check(!q.doubted || r.Answer.Outcome != model.OutcomeNotRun, "edge", "not-run after an attempt in doubt: %s",
		r.Answer.Reason)
	q.count(r.Answer.Outcome)
	if r.Status == http.StatusBadRequest {
		_ = level.Info(q.edge.config.Logger).Log("msg", "bad request refused", "peer", q.r.RemoteAddr, "path",
			q.r.URL.Path, "reason", r.Answer.Reason)
	}
	if q.body.begun && !q.body.complete() {
		q.w.Header()["Connection"] = []string{"close"}
	}
	q.answered, q.status = r, r.Status
	q.edge.config.Protocol.Refuse(q.w, r)
}

// breakOff closes the connection so that the caller can't take the answer as complete. In HTTP/1.0 the end of the
// connection ends the body, so that only a reset tells the caller.
func (q *request) breakOff() {
	if !q.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(q.w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
