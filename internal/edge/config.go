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

// Memory accounts for the memory of the node.
type Memory interface {
	// Reserve accounts for bytes until the request of the context ends; without room it returns false.
	Reserve(ctx context.Context, bytes int64) bool
}

// Config configures an Edge; all fields except View are optional.
type Config struct {
	// View holds the candidate targets. Routes are set by SetRoutes.
	View *view.Holder
	// Secret is the key that signs relayed requests; if empty, they are not signed.
	Secret []byte
	// Picker chooses targets; the default chooses a random candidate.
	Picker Picker
	// Tracker receives the start and end of each attempt to detect unhealthy targets and network paths.
	Tracker Tracker
	// KeyOwner decides where requests with keys and non-idempotent requests run; without it, the outcome of an attempt in
	// doubt stays unknown.
	KeyOwner KeyOwner
	// PoisonDetector detects requests that crash targets; they are refused.
	PoisonDetector PoisonDetector
	// CrashCounter provides the known crashes caused by a request, which are sent to agents.
	CrashCounter CrashCounter
	// Retry configures the retry budget of each service.
	Retry  retry.Config
	Clock  timer.Service
	Logger log.Logger
	Dial   relay.DialFunc

	// ReusedHeaderTimeout is the timeout for the first byte on a reused connection, and HeaderTimeout the timeout
	// between bytes on any connection until the response starts; default 500 ms and 3 s.
	ReusedHeaderTimeout time.Duration
	HeaderTimeout       time.Duration
	// BodyIdleTimeout is the time without bytes of the agent within a response body after which the path to it counts as
	// dead; default 10 s. ResumableIdleTimeout is the time without bytes of the target on resumable routes; default 3 s.
	BodyIdleTimeout      time.Duration
	ResumableIdleTimeout time.Duration
	// DefaultTimeout applies to routes without a timeout; default 30 s.
	DefaultTimeout time.Duration
	// DialTimeout is the timeout for connecting to an agent; zero selects the default of the pool.
	DialTimeout time.Duration

	// Protocol adapts the headers and refusals that callers use; nil selects the default protocol.
	Protocol Protocol
	// NegotiateAdmission makes the edge send class and patience of each request to the agent, send the body of
	// non-idempotent requests only after admission, and try further agents after a refusal without counting it as an
	// attempt.
	NegotiateAdmission bool
	// StartupWait is how long a request waits for the configuration and a first target during startup; StartupPeriod is the
	// duration of startup. Zero means no wait.
	StartupWait, StartupPeriod time.Duration
	// BufferBytes is the size up to which response bodies are buffered until they are complete; the minimum is one
	// block.
	BufferBytes int
	// Configurations provides the current configuration number and receives those of other nodes.
	Configurations Configurations
	// RequestLogger receives a summary of each request.
	RequestLogger RequestLogger
	// Parents looks up the requests that run at the target on this VM.
	Parents Parents
	// Notices remembers what targets state about themselves.
	Notices Notices
	// Accounts identifies the client account of a request; without it there are none.
	Accounts Accounts
	// Quotas bounds the requests of client accounts; without it they are not bounded.
	Quotas Quotas
	// Memory bounds the response bodies that are buffered; without it only BufferBytes does.
	Memory Memory
}

// Notices remembers what targets state about themselves, beyond restarts of the nodes beside them.
type Notices interface {
	// ObserveAnswer records what a response of the target states, and how long its rate limit would make the next request
	// wait.
	ObserveAnswer(target model.TargetRef, n relay.Notice, wait time.Duration)
	// ObserveRefusal records what the agent states in place of its target.
	ObserveRefusal(target model.TargetRef, n relay.Notice, wait time.Duration)
	// Notice returns what the target is known to have stated.
	Notice(target model.TargetRef) relay.Notice
}

// Configurations tracks the current configuration number.
type Configurations interface {
	Number() uint64
	// ObserveAt receives the current number of another node; zero means that it has no configuration.
	ObserveAt(node model.Node, number uint64)
	// Behind reports whether another node has a higher number.
	Behind() bool
}

// Parents looks up the requests that run at the target on this VM and may send requests of their own.
type Parents interface {
	// Parent returns the running request; ok is false if it does not run there.
	Parent(id string) (p relay.Parent, ok bool)
	// CallEnded reports whether a nested call of the request was served.
	CallEnded(id string, served bool)
}

// Protocol adapts the headers and refusals that callers use beyond plain HTTP.
type Protocol interface {
	// ID returns the id of the request for the log, or "".
	ID(r *http.Request) string
	// Timeout returns the timeout that the caller set, or zero if it set none; it fails if the value is malformed.
	Timeout(r *http.Request) (time.Duration, error)
	// Parent returns the id of the request that the target on this VM was running when it sent this one, or "" if the
	// request is not a nested call.
	Parent(r *http.Request) string
	// AccountKey returns the key of a client account that the request carries, or "", and the name of the header for keys.
	AccountKey(r *http.Request) (key, header string)
	// Header returns headers to add for the target, and headers of the caller to omit.
	Header(r *http.Request) (add []relay.Field, omit []string)
	// Refuse writes a response that comes from the fleet rather than a target.
	Refuse(w http.ResponseWriter, r relay.Refusal)
}

// AttemptRecord describes one attempt of a request, or one refusal by an agent.
type AttemptRecord struct {
	Target   string        `json:"target"`
	Node     string        `json:"node"`
	Result   string        `json:"result"`
	Patience time.Duration `json:"patience"`
	Forced   bool          `json:"forced"`
	Duration time.Duration `json:"took"`
	// Left is why the request left the failure domain, Tier how far it went and Bytes the expected size of the request and
	// its response.
	Left  string `json:"left-because"`
	Tier  string `json:"tier"`
	Bytes int64  `json:"bytes"`
}

// RequestSummary describes a request and its response for the log.
type RequestSummary struct {
	ID      string
	Route   string
	Service string
	Outcome model.Outcome
	Reason  string
	Status  int
	Nested  bool
	// Account is the client account, or that of the parent of a nested call; it is empty if there is none.
	Account  string
	Duration time.Duration
	// Remaining is the time that was left until the deadline.
	Remaining time.Duration
	Attempts  []AttemptRecord
	// Configuration is the number of the configuration that routed the request.
	Configuration uint64
	// Idempotent tells whether the request may run more than once.
	Idempotent bool
	// Fingerprint is equal for all attempts of one request; zero means unknown.
	Fingerprint uint64
}

// RequestLogger logs requests.
type RequestLogger interface {
	LogRequest(s RequestSummary)
}

// PickRequest describes a request to a Picker.
type PickRequest struct {
	Service    *view.Service
	Route      *model.RouteSpec
	Idempotent bool
	// Tried lists the targets that are ruled out by earlier attempts of the same request.
	Tried []model.TargetRef
	// Refusals lists the refusals of agents that may admit the request later.
	Refusals []AgentRefusal
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Bytes is the expected size of the request and its response.
	Bytes int64
	// Rank is the rank of the route or of the parent request; Nested tells whether a target sent the request as a call.
	Rank   int
	Nested bool
	// HasProgress tells whether another call of the parent request was served.
	HasProgress bool
}

// AgentRefusal describes a refusal by an agent without a free slot or with an unhealthy target.
type AgentRefusal struct {
	Target model.TargetRef
	// ExpectedWait is the wait that the agent expects.
	ExpectedWait time.Duration
	// Unhealthy tells whether the agent considers the target unhealthy, RateLimited whether the rate limit that the target
	// states is used up.
	Unhealthy   bool
	RateLimited bool
}

// Choice is a chosen target. Token is private to the picker.
type Choice struct {
	Candidate view.Candidate
	Token     any
	// Patience is how long the request may queue for a slot there.
	Patience time.Duration
	// Forced asks the agent to admit the request even if it considers the target unhealthy.
	Forced bool
	// Brief tells that Patience is short, so that the request may queue at this target later.
	Brief bool
	// Left is why the request leaves the failure domain, or empty; Tier names how far the target is.
	Left string
	Tier string
}

// Load is the load that the agent reported with a response; Reported is false if it sent none.
type Load struct {
	relay.Load
	Reported bool
	// SuccessRatio is the share of the latest requests that an unhealthy target served.
	SuccessRatio float64
	// IncludesRequest tells whether the load includes the request itself.
	IncludesRequest bool
	// UnhealthyFor is how long the agent expects the target to stay unhealthy; zero means healthy.
	UnhealthyFor time.Duration
	// NoSlot is set if the agent has no slot within ExpectedWait, Gone if it does not serve the target any more.
	NoSlot       bool
	ExpectedWait time.Duration
	Gone         bool
}

// Picker chooses among candidates.
type Picker interface {
	// Pick fails if no candidate can take the request.
	Pick(r PickRequest) (Choice, error)
	Done(c Choice, l Load)
}

// ResultKind classifies how an attempt ended.
type ResultKind uint8

// Kinds of results.
const (
	ResultOK ResultKind = iota + 1
	// ResultError is a response of the target with status 500 or above.
	ResultError
	// ResultReset means that the target failed before its response was complete.
	ResultReset
	// ResultTimeout means that the deadline passed.
	ResultTimeout
	// ResultCanceled means that the caller canceled the request, which says nothing about the target's health.
	ResultCanceled
	// ResultRefused means that the agent refused the request.
	ResultRefused
	// ResultPathFailure means that the agent is unreachable or stopped responding.
	ResultPathFailure
)

// Result describes the end of an attempt.
type Result struct {
	Kind     ResultKind
	Duration time.Duration
}

// TrackRequest describes an attempt to a Tracker.
type TrackRequest struct {
	Target     model.TargetRef
	Class      string
	Idempotent bool
}

// Handle tracks one attempt.
type Handle interface {
	// Progress reports that a part of the response arrived, so that a long download does not count as stalled.
	Progress()
	Finish(r Result)
}

// Tracker observes attempts.
type Tracker interface {
	Start(r TrackRequest) Handle
}

// KeyRequest describes a request to the key owner.
type KeyRequest struct {
	// Key is the caller's key; empty if the request has none.
	Key string
	// Account is the scope of plain keys.
	Account string
	Service string
	Method  string
	Path    string
	Query   string
	// Body is the start of the body; together with the fields above, it tells apart requests that use the same key.
	Body []byte
}

// DecisionKind classifies the decision of the key owner.
type DecisionKind uint8

// Kinds of decisions.
const (
	// DecisionRun permits an attempt.
	DecisionRun DecisionKind = iota + 1
	// DecisionReplay returns the stored response of an earlier run.
	DecisionReplay
	// DecisionInProgress means that an earlier request with the key is still running.
	DecisionInProgress
	// DecisionUnknown means that the request may have run.
	DecisionUnknown
	// DecisionNotRun means that the request did not run and never will.
	DecisionNotRun
)

// StoredResponse is the response of an earlier run.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the key owner's decision about a request.
type Decision struct {
	Kind DecisionKind
	// Key is the key that the owner issued for this run.
	Key        string
	Reason     string
	Response   *StoredResponse
	RetryAfter time.Duration
	// InvalidKey tells whether the key is malformed or belongs to another request, so that a retry cannot succeed.
	InvalidKey bool
}

// KeyOwner owns idempotency keys and tracks the requests that run under them.
type KeyOwner interface {
	OwnerToken() string
	Begin(ctx context.Context, s KeyRequest) Decision
	// StartAttempt returns the value of Auburnwinch-Key for this attempt; ok is false if the key may no longer run
	// here.
	StartAttempt(key string, target model.TargetRef, node model.Node) (attempt string, ok bool)
	RefuseAttempt(key string)
	FinishAttempt(key string)
	ResolveAttempt(ctx context.Context, key string) Decision
	End(key string, o model.Outcome)
	Query(ctx context.Context, key string) Decision
}

// PoisonRequest holds the parts of a request that determine its fingerprint.
type PoisonRequest struct {
	Host    string
	Service string
	Method  string
	Path    string
	Query   string
	Body    []byte
}

// PoisonDetector detects requests that crash targets.
type PoisonDetector interface {
	Fingerprint(r PoisonRequest) uint64
	Quarantined(service string, fingerprint uint64) bool
}

// CrashCounter counts how many targets in a row crashed while they ran a request.
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
		c.Protocol = defaultProtocol{}
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
