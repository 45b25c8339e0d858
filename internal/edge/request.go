package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
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

// maxFields is the capacity for the headers that the edge adds to a relayed request.
const maxFields = 8

// maxCrashes is the number of target crashes after which a request is not sent again.
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
	// fields holds the headers that all attempts share.
	fields   []relay.Field
	deadline time.Time
	tried    []model.TargetRef
	attempts int
	reuse    relay.Reuse
	// maybeRan tells that an earlier attempt may have run, so that the outcome can't be not-run any more.
	maybeRan bool
	// writeControl is set while writes to the caller have a deadline.
	writeControl *http.ResponseController
	// fingerprint identifies the request for the detection of poison requests; crashes counts the targets that crashed
	// while they ran it.
	fingerprint uint64
	crashes     int
	// knownCrashes holds the crashes caused by the request that were known when it arrived.
	knownCrashes model.Crashes
	// sentHeader tells whether a response header was sent to the caller.
	sentHeader bool
	// omit lists headers of the caller that are not forwarded.
	omit []string
	// parent is the id of the request whose target sent this one as a nested call; parentRetry tells whether the parent
	// is a retry, and hasProgress whether another call of it was served.
	parent      string
	parentRetry bool
	hasProgress bool
	// parentRuns tells whether the parent runs at the target on this VM, and parentAccount holds its client account.
	parentRuns    bool
	parentAccount string
	// account is the client account whose key the request carries; it is nil if there is none.
	account *model.ClientAccount
	// keyHeader is the name of the header that is not forwarded because it may hold a key.
	keyHeader string
	// rank is the rank of the client account, of the route, or of the parent request.
	rank int
	// refused lists the refusals of agents that may admit the request later; refusalCount counts all of them.
	refused        []AgentRefusal
	refusalCount   int
	budgetRefusals int
	// rateWait is the shortest wait that an agent expects because of the rate limit of its target; zero means none.
	rateWait time.Duration
	// saved is the error response of a target to an earlier attempt.
	saved *savedResponse
	// startedAt, tries, number, refusal and status are for the request log.
	startedAt time.Time
	tries     []AttemptRecord
	number    uint64
	refusal   relay.Refusal
	status    int
	// abort makes the server close the connection before the response is complete.
	abort bool
	// quotaTaken tells that the request holds quotaToken of the quota of its account.
	quotaToken QuotaToken
	quotaTaken bool
}

func (q *request) serve() {
	if refusal, ok := q.prepare(); !ok {
		q.refuseEarly(refusal)
		return
	}
	if refusal, ok := q.identify(); !ok {
		q.refuseEarly(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(q.edge.aborted, cancel)()
	defer q.body.release()
	if err := q.body.read(q.w, q.r, q.deadline); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			q.refuseEarly(BodyTooLarge())
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			q.refuseEarly(notRunRefusal(http.StatusRequestTimeout, "the request body did not arrive within the time of the request", remedyFix))
			return
		}
		q.refuseEarly(notRunRefusal(http.StatusBadRequest, "the request body is shorter than announced or malformed", remedyFix))
		return
	}
	defer q.watchDisconnect(cancel)()
	q.prepareHeader()
	if !q.beginKey(ctx) {
		return
	}
	// The key owner is asked first: an earlier request with the key may have run, and then the outcome can't be
	// not-run. A node that has just started learns about quarantines and targets from the same records.
	q.awaitStart(q.hasTarget)
	if p := q.edge.config.PoisonDetector; p != nil && p.Quarantined(q.match.Service, q.fingerprint) {
		q.refuseAttempts(poisonRefusal())
		return
	}
	if !q.takeQuota(ctx) {
		return
	}
	defer q.returnQuota()
	q.edge.counters.requests.Add(1)
	q.edge.budget(q.match.Service).Deposit()
	q.run(ctx)
	if q.writeControl != nil {
		// The next request on the connection sets its own deadline.
		_ = q.writeControl.SetWriteDeadline(time.Time{})
	}
}

// prepare determines route, service and deadline.
func (q *request) prepare() (relay.Refusal, bool) {
	q.awaitStart(q.configured)
	table, current := q.edge.routes.Load(), q.edge.config.View.Load()
	if table == nil || current == nil {
		return notRunRefusal(http.StatusServiceUnavailable, "this node has no configuration yet", remedyLater), false
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
		// A caller may send the absolute form; targets get the origin form.
		q.uri = q.r.URL.RequestURI()
	}
	if q.service = current.Service(match.Service); q.service == nil {
		return notRunRefusal(http.StatusServiceUnavailable, "the service of this route is not in force yet", remedyLater), false
	}
	timeout := time.Duration(match.Route.Timeout)
	orDefault(&timeout, q.edge.config.DefaultTimeout)
	own, err := q.edge.config.Protocol.Timeout(q.r)
	if err != nil {
		return notRunRefusal(http.StatusBadRequest, err.Error(), remedyFix), false
	}
	if own > 0 {
		timeout = min(timeout, own)
	}
	q.deadline = q.startedAt.Add(timeout)
	q.parent = q.edge.config.Protocol.Parent(q.r)
	q.rank = match.Route.Rank
	if parents := q.edge.config.Parents; parents != nil && q.parent != "" {
		if parent, ok := parents.Parent(q.parent); ok {
			q.rank, q.parentRetry, q.hasProgress = parent.Rank, parent.Retry, parent.HasProgress
			q.parentRuns, q.parentAccount = true, parent.Account
		}
	}
	return relay.Refusal{}, true
}

// path returns the path for routing. Literal prefixes are compared with the bytes that the caller sent.
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
	_ = level.Info(q.edge.config.Logger).Log("msg", "no matching route", "host", q.r.Host, "path", q.r.URL.Path, "method",
		q.r.Method, "err", err)
	switch {
	case errors.Is(err, router.ErrMethod):
		return notRunRefusal(http.StatusMethodNotAllowed, "the route does not accept this method", remedyFix)
	case errors.Is(err, router.ErrPath):
		return notRunRefusal(http.StatusBadRequest, "the path holds dot segments", remedyFix)
	case q.edge.isBehind():
		return q.undecided("a newer configuration, which may have this route, is on its way")
	default:
		return notRunRefusal(http.StatusNotFound, "no route matches host and path", remedyFix)
	}
}

// prepareHeader builds the part of the relayed header that all attempts share.
func (q *request) prepareHeader() {
	q.fields = make([]relay.Field, 0, maxFields)
	q.addField(model.HeaderRoute, q.match.Route.Name)
	add, omit := q.edge.config.Protocol.Header(q.r)
	q.fields, q.omit = append(q.fields, add...), omit
	q.addAccountFields()
	if p := q.edge.config.PoisonDetector; p != nil {
		q.fingerprint = p.Fingerprint(PoisonRequest{
			Host: q.r.Host, Service: q.match.Service, Method: q.r.Method, Path: q.r.URL.Path, Query: q.r.URL.RawQuery,
			Body: q.body.data,
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

// run sends attempts until one succeeds or no further attempt is permitted.
func (q *request) run(ctx context.Context) {
	for {
		if q.edge.admitting.Err() != nil {
			q.refuseAttempts(agentRefusal(relay.ReasonLeaving))
			return
		}
		choice, err := q.edge.config.Picker.Pick(PickRequest{
			Service: q.service, Route: q.match.Route, Idempotent: q.match.Route.Idempotent, Tried: q.tried,
			Refusals: q.refused, Remaining: time.Until(q.deadline), Bytes: q.expectedBytes(),
			Rank: q.rank, Nested: q.parent != "", HasProgress: q.hasProgress,
		})
		if err != nil {
			q.refuseAttempts(q.noTargetRefusal())
			return
		}
		q.attempts++
		f := q.attempt(ctx, choice)
		if f == nil || q.resolve(ctx, f) {
			return
		}
		q.recordRefusal(f, choice)
		q.maybeRan = q.maybeRan || f.result == retry.InDoubt
		if q.isPoison(f) && !q.sentHeader {
			q.refuseAttempts(poisonRefusal())
			return
		}
		if !q.mayRetry(ctx, f) {
			q.respondFailure(ctx, f)
			return
		}
	}
}

// isPoison reports whether the request must not be sent again because targets crashed while they ran it.
func (q *request) isPoison(f *failure) bool {
	if f.reason == relay.ReasonCrashed {
		q.crashes++
	}
	p := q.edge.config.PoisonDetector
	return q.crashes >= maxCrashes || p != nil && p.Quarantined(q.match.Service, q.fingerprint)
}

func (q *request) mayRetry(ctx context.Context, f *failure) bool {
	if q.edge.config.NegotiateAdmission {
		return q.mayTryNext(ctx, f)
	}
	allowed := f.retryable && retry.Allowed(retry.Attempt{
		Number: q.attempts, Result: f.result, Idempotent: q.match.Route.Idempotent, BodyReplayable: q.body.replayable(),
		ResponseStarted: q.sentHeader,
	})
	if !allowed || ctx.Err() != nil || !q.edge.budget(q.match.Service).Withdraw() {
		return false
	}
	q.edge.counters.retries.Add(1)
	return true
}

// respondFailure responds to the caller after the last attempt failed.
func (q *request) respondFailure(ctx context.Context, f *failure) {
	switch {
	case q.sentHeader:
		q.endKey(model.OutcomeUnknown)
		q.edge.counters.broken.Add(1)
		q.abort = true
	case f.result == retry.NotRun:
		r := agentRefusal(f.reason)
		if f.reason == relay.ReasonRateLimit {
			r.RetryAfter = q.retryAfter()
		}
		q.refuseAttempts(r)
	case q.saved != nil:
		q.saved.deliver(q)
	default:
		q.endKey(model.OutcomeUnknown)
		q.refuse(q.inDoubtRefusal(ctx, f))
	}
}

// refuseAttempts responds with not-run, or with unknown if an earlier attempt may have run.
func (q *request) refuseAttempts(r relay.Refusal) {
	if q.maybeRan {
		r.Answer.Outcome, r.Answer.Remedy = model.OutcomeUnknown, q.remedyInDoubt()
		if r.Status != http.StatusUnprocessableEntity {
			r.Status = http.StatusBadGateway
		}
	}
	q.endKey(r.Answer.Outcome)
	if q.saved != nil && !q.sentHeader {
		q.saved.deliver(q)
		return
	}
	q.refuse(r)
}

// refuseEarly refuses the request before the key owner was asked. With a key the outcome can't be not-run: an earlier
// request with the key may have run through a node that has another configuration or got the complete request.
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

func (q *request) inDoubtRefusal(ctx context.Context, f *failure) relay.Refusal {
	remedy := q.remedyInDoubt()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || f.reason == relay.ReasonTimeout {
		return unknownRefusal(http.StatusGatewayTimeout, "the time of the request ran out", remedy)
	}
	return unknownRefusal(http.StatusBadGateway, f.reason, remedy)
}

func (q *request) refuse(r relay.Refusal) {
	invar.Check(!q.maybeRan || r.Answer.Outcome != model.OutcomeNotRun, "edge", "not-run after an attempt in doubt: %s",
		r.Answer.Reason)
	q.count(r.Answer.Outcome)
	if r.Status == http.StatusBadRequest {
		_ = level.Info(q.edge.config.Logger).Log("msg", "bad request refused", "peer", q.r.RemoteAddr, "path",
			q.r.URL.Path, "reason", r.Answer.Reason)
	}
	if q.body.reading && !q.body.fullyRead() {
		q.w.Header()["Connection"] = []string{"close"}
	}
	q.refusal, q.status = r, r.Status
	q.edge.config.Protocol.Refuse(q.w, r)
}

// abortConnection closes the connection so that the caller can't mistake the response for complete. In HTTP/1.0 the end
// of the connection ends the body, so only a TCP reset signals the error.
func (q *request) abortConnection() {
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
