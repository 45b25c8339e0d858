package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Config holds the parts of an edge; each but View may be left out.
type Config struct {
	// View holds the candidates. Routes come from SetRoutes.
	View *view.Holder
	// Secret signs relayed requests; without it they are not signed.
	Secret []byte
	// Picker chooses targets; without it a random candidate is chosen.
	Picker Picker
	// Tracker receives start and end of each attempt for the detection of unhealthy targets and paths.
	Tracker Tracker
	// KeyOwner decides where keyed and non-idempotent requests run; without it, a request in doubt is unknown.
	KeyOwner KeyOwner
	// PoisonDetector refuses requests that crash targets.
	PoisonDetector PoisonDetector
	// CrashCounter tells agents what is known of crashes under the request.
	CrashCounter CrashCounter
	// Retry sizes the retry budget of each service.
	Retry  retry.Config
	Clock  timer.Service
	Logger log.Logger
	Dial   relay.DialFunc

	// ReusedHeaderTimeout and SilentAny bound the silence before the answer starts, on a reused connection until its first
	// byte and on any connection; default 500 ms and 3 s.
	ReusedHeaderTimeout time.Duration
	HeaderTimeout       time.Duration
	// BodyIdleTimeout bounds the silence within a body; default 10 s, and 3 s on resumable routes.
	BodyIdleTimeout      time.Duration
	ResumableIdleTimeout time.Duration
	// DefaultTimeout holds for routes without a timeout; default 30 s.
	DefaultTimeout time.Duration
	// DialTimeout bounds the connection to an agent; zero takes the default of the pool.
	DialTimeout time.Duration

	// Protocol is what callers speak beyond plain HTTP; without one it is the product's own.
	Protocol Protocol
	// NegotiateAdmission makes the edge state class and patience of each request to the agent, send requests that must not run
	// twice in two steps, and ask further agents after a refusal without counting it as an attempt.
	NegotiateAdmission bool
	// StartupWait is how long a request waits for the configuration and a first target while the edge has just started;
	// StartupPeriod is how long it counts as that. Zero means no wait.
	StartupWait, StartupPeriod time.Duration
	// BufferBytes is the largest body that is held back until it is whole; zero takes one block.
	BufferBytes int
	// Configurations tells the number in force, and hears those of other nodes.
	Configurations Configurations
	// RequestLogger is told of each answer.
	RequestLogger RequestLogger
	// Parents knows the requests that run at the target on this VM.
	Parents Parents
}

// Configurations tells which configuration is in force.
type Configurations interface {
	Number() uint64
	// Observe takes the number that another node has in force.
	Observe(number uint64)
}

// Parents knows the requests that run at the target on this VM.
type Parents interface {
	// Parent returns the running request; ok is false when it does not run there.
	Parent(id string) (p relay.Parent, ok bool)
	// CallEnded tells whether a call of the request was served.
	CallEnded(id string, served bool)
}

// Protocol is what callers speak beyond plain HTTP.
type Protocol interface {
	// ID returns the id of the request for the log, or nothing.
	ID(r *http.Request) string
	// Timeout returns how long the caller waits, or zero when it does not say; it fails when the value is malformed.
	Timeout(r *http.Request) (time.Duration, error)
	// Parent returns the id of the request that the target on this VM runs while it sends this one, or nothing when the
	// request is no such call.
	Parent(r *http.Request) string
	// Header returns headers for the target, and headers of the caller that are left out.
	Header(r *http.Request) (add []relay.Field, omit []string)
	// Refuse gives an answer of the fleet itself.
	Refuse(w http.ResponseWriter, r relay.Refusal)
}

// AttemptRecord is one attempt of a request, or one refusal of an agent.
type AttemptRecord struct {
	Target   string        `json:"target"`
	Node     string        `json:"node"`
	Result   string        `json:"result"`
	Patience time.Duration `json:"patience"`
	Forced   bool          `json:"forced"`
	Duration time.Duration `json:"took"`
}

// RequestSummary tells how a request was answered.
type RequestSummary struct {
	ID       string
	Route    string
	Service  string
	Outcome  model.Outcome
	Reason   string
	Status   int
	Nested   bool
	Duration time.Duration
	// Remaining is the time that the caller would still have waited.
	Remaining time.Duration
	Attempts  []AttemptRecord
	// Configuration is the number of the configuration by which the request was routed.
	Configuration uint64
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Fingerprint is the same for all attempts of one request; zero means that it is not known.
	Fingerprint uint64
}

// RequestLogger takes note of answers.
type RequestLogger interface {
	LogRequest(s RequestSummary)
}

// PickRequest is what the choice of a target needs to know of a request.
type PickRequest struct {
	Service    *view.Service
	Route      *model.RouteSpec
	Idempotent bool
	// Tried are the targets of earlier attempts of the same request.
	Tried []model.TargetRef
	// Refusals are the refusals of agents that may take the request later.
	Refusals []AgentRefusal
	// Remaining is the time that the request has.
	Remaining time.Duration
	// Bytes is the expected size of the request and its answer.
	Bytes int64
}

// AgentRefusal is the refusal of an agent that had no room for a request.
type AgentRefusal struct {
	Target model.TargetRef
	// ExpectedWait is the wait that the agent expected.
	ExpectedWait time.Duration
	// Unhealthy tells that the target is probably sick.
	Unhealthy bool
}

// Choice is a chosen target. Token belongs to the picker.
type Choice struct {
	Candidate view.Candidate
	Token     any
	// Patience is how long the request may wait for a slot there.
	Patience time.Duration
	// Forced asks the agent to admit the request although its target is probably sick.
	Forced bool
}

// Load is the load that the agent reported with an answer; Known is false when there was no report.
type Load struct {
	relay.Load
	Reported bool
	// SuccessRatio is the share of its latest requests that a resting target served.
	SuccessRatio float64
	// IncludesRequest tells that the load counts the answered request itself.
	IncludesRequest bool
	// UnhealthyFor is the time for which the agent calls its target sick; zero means that it does not.
	UnhealthyFor time.Duration
}

// Picker chooses among candidates.
type Picker interface {
	// Pick fails when no candidate may take the request.
	Pick(r PickRequest) (Choice, error)
	Done(c Choice, l Load)
}

// ResultKind classifies how an attempt ended.
type ResultKind uint8

// The kinds of results.
const (
	ResultOK ResultKind = iota + 1
	// ResultError is an answer of the target with status 500 or above.
	ResultError
	// ResultReset means that the agent reports a target that broke off.
	ResultReset
	// ResultTimeout means that the time ran out.
	ResultTimeout
	// ResultCanceled means that the caller went away, which says nothing about the target.
	ResultCanceled
	// ResultRefused means that the agent refused the request.
	ResultRefused
	// ResultPathFailure means that the agent can't be reached or went silent.
	ResultPathFailure
)

// Result is the end of an attempt.
type Result struct {
	Kind     ResultKind
	Duration time.Duration
}

// TrackRequest is what detection needs to know of an attempt.
type TrackRequest struct {
	Target     model.TargetRef
	Class      string
	Idempotent bool
}

// Handle tracks one attempt.
type Handle interface {
	// Progress tells that a part of the answer arrived, so that a long download does not count as stalled.
	Progress()
	Finish(r Result)
}

// Tracker observes the attempts.
type Tracker interface {
	Start(r TrackRequest) Handle
}

// KeyRequest is a request as the key owner sees it.
type KeyRequest struct {
	// Key is the caller's key; it is empty when the request has none.
	Key string
	// Account scopes plain keys.
	Account string
	Service string
	Method  string
	Path    string
	Query   string
	// Body is the start of the body; with the fields above it tells two requests apart that carry the same key.
	Body []byte
}

// DecisionKind says what to do with a send.
type DecisionKind uint8

// The kinds of decisions.
const (
	// DecisionRun permits an attempt.
	DecisionRun DecisionKind = iota + 1
	// DecisionReplay holds the stored answer of an earlier run.
	DecisionReplay
	// DecisionInProgress means that an earlier send still runs.
	DecisionInProgress
	// DecisionUnknown means that the request may have run.
	DecisionUnknown
	// DecisionNotRun means that the request did not run and won't.
	DecisionNotRun
)

// StoredResponse is a stored answer.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the word of the key owner.
type Decision struct {
	Kind DecisionKind
	// Key is the issued form of the key, under which the request runs.
	Key        string
	Reason     string
	Response   *StoredResponse
	RetryAfter time.Duration
	// InvalidKey tells that the key is malformed or belongs to another request, so that a repeat makes no sense.
	InvalidKey bool
}

// KeyOwner is the owner of idempotency keys.
type KeyOwner interface {
	OwnerToken() string
	Begin(ctx context.Context, s KeyRequest) Decision
	// StartAttempt returns the value of Auburnwinch-Key for this attempt; ok is false when the key may no longer run here.
	StartAttempt(key string, target model.TargetRef, node model.Node) (attempt string, ok bool)
	RefuseAttempt(key string)
	FinishAttempt(key string)
	ResolveAttempt(ctx context.Context, key string) Decision
	End(key string, o model.Outcome)
	Query(ctx context.Context, key string) Decision
}

// PoisonRequest holds the parts of a request that make up its fingerprint.
type PoisonRequest struct {
	Host    string
	Service string
	Method  string
	Path    string
	Query   string
	Body    []byte
}

// PoisonDetector knows the requests that crash targets.
type PoisonDetector interface {
	Fingerprint(r PoisonRequest) uint64
	Quarantined(service string, fingerprint uint64) bool
}

// CrashCounter knows how many targets in a row died while they ran a request.
type CrashCounter interface {
	Crashes(fingerprint uint64) model.Crashes
}

const (
	defaultSilentReused  = 500 * time.Millisecond
	defaultSilentAny     = 3 * time.Second
	defaultBodyIdle      = 10 * time.Second
	defaultBodyIdleRange = 3 * time.Second
	defaultTimeout       = 30 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Picker == nil {
		c.Picker = randomPicker{}
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Protocol == nil {
		c.Protocol = ownProtocol{}
	}
	if c.BufferBytes < relay.BlockBytes {
		c.BufferBytes = relay.BlockBytes
	}
	orDefault(&c.ReusedHeaderTimeout, defaultSilentReused)
	orDefault(&c.HeaderTimeout, defaultSilentAny)
	orDefault(&c.BodyIdleTimeout, defaultBodyIdle)
	orDefault(&c.ResumableIdleTimeout, defaultBodyIdleRange)
	orDefault(&c.DefaultTimeout, defaultTimeout)
	return c
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
