package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/secret"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Config configures an agent; every field is optional.
type Config struct {
	Self model.NodeRef
	// View tells which services exist; without it every service is accepted.
	View *view.Holder
	// Secret verifies relayed requests; without it they are not verified.
	Secret []byte
	// Accepted are further secrets that edges may sign with during a secret rotation.
	Accepted *secret.Set
	// NewLimiter returns the admission control of a target; by default the number of slots is the limit and requests
	// never wait.
	NewLimiter func(model.Target, model.ServiceSpec) Limiter
	// Tracker receives the start and end of each request to detect unhealthy targets.
	Tracker Tracker
	// KeyLedger refuses idempotency keys that were seen before and keeps responses.
	KeyLedger KeyLedger
	// PoisonDetector refuses requests that crash targets, and receives crash reports.
	PoisonDetector PoisonDetector
	// CrashCounter is told of requests that a target has served, which ends the count of their crashes.
	CrashCounter CrashCounter
	// OnTargets is called with all targets after a change.
	OnTargets func([]model.Target)
	Clock     timer.Service
	Logger    log.Logger
	Dial      relay.DialFunc
	// InterimInterval is the time between interim responses; default 1 s.
	InterimInterval time.Duration
	// Expiry is the time after which a target without an announcement is removed; default 6 s.
	Expiry time.Duration
	// Protocol is the protocol of targets on top of plain HTTP; the default uses the headers of pkg/model.
	Protocol Protocol
	// Configurations returns the configuration number in force and observes those of other nodes.
	Configurations Configurations
	// RequestLogger receives the outcome of each relayed request.
	RequestLogger RequestLogger
	// MaxResponseBytes bounds the body of a response; zero means no bound.
	MaxResponseBytes int64
	// MaxUploadBytes bounds the sum of the request bodies at one target, unless there is only one; zero means no bound.
	MaxUploadBytes int64
	// SingleTarget means that one target runs on this VM: a new one replaces the previous one.
	SingleTarget bool
	// DisableLivenessConns disables the idle connections that distinguish a crash from a broken connection when a
	// target restarts at once.
	DisableLivenessConns bool
}

// Protocol is the protocol of targets on top of plain HTTP.
type Protocol interface {
	// ID returns the id of the request for the log, or an empty string.
	ID(r *http.Request) string
	// Header returns headers to add to the request to the target, and headers of the caller to omit.
	Header(r *http.Request, target model.TargetRef, left time.Duration) (add []relay.Field, omit []string)
	// Matches reports whether the response belongs to the request.
	Matches(r *http.Request, response *http.Response) bool
	// Verdict returns what a response says about the request beyond its status.
	Verdict(response *http.Response) Verdict
	// Notice returns what the target states about itself in a response; it fails if a value is malformed.
	Notice(response *http.Response) (relay.Notice, error)
}

// Verdict is what a response of a target says about its request.
type Verdict uint8

// The verdicts of a target.
const (
	// VerdictOK means that the response belongs to the request.
	VerdictOK Verdict = iota
	// VerdictShed means that the target has not run the request and won't.
	VerdictShed
	// VerdictWrongTarget means that another target has the address; the request did not run.
	VerdictWrongTarget
	// VerdictInvalid means that the response can't be that of a target; the request may have run.
	VerdictInvalid
)

// Configurations tracks which configuration is in force.
type Configurations interface {
	Number() uint64
	// Observe records the number of the configuration that another node has in force.
	Observe(number uint64)
}

// RequestRecord is the outcome of a relayed request.
type RequestRecord struct {
	ID      string
	Target  model.TargetRef
	Class   relay.Class
	Account string
	Outcome model.Outcome
	Reason  string
	Status  int
	Waited  time.Duration
	Ran     time.Duration
	Load    relay.Load
	// Notice is what the target had stated about itself when the request ended.
	Notice relay.Notice
	// Fingerprint is the same for all attempts of one request; zero means unknown.
	Fingerprint uint64
}

// RequestLogger logs relayed requests.
type RequestLogger interface {
	LogRelayed(r RequestRecord)
}

// Limiter admits requests to one target.
type Limiter interface {
	Acquire(ctx context.Context, r AdmitRequest) (Permit, error)
	Load() relay.Load
}

// Configurable is a limiter that can change its slots and service settings; other limiters are replaced.
type Configurable interface {
	Configure(slots int, spec model.ServiceSpec)
}

// RateLimited is a limiter that keeps the rate limit that its target states.
type RateLimited interface {
	// SetRate changes the limit in requests per second; without limited there is none.
	SetRate(rate float64, limited bool)
	// RateWait returns how long the next request would wait for the limit.
	RateWait() time.Duration
}

// AdmitRequest is what admission needs to know about a request.
type AdmitRequest struct {
	Account  string
	Deadline time.Time
	// Route is the route of the request; requests of one route have similar durations.
	Route string
	Class relay.Class
	// Patience is how long the request may wait for a slot; HasPatience means that the edge has stated it.
	Patience    time.Duration
	HasPatience bool
	// Objective is when the response has lost most of its value; the zero value means never.
	Objective time.Time
}

// Permit holds a slot until it is released.
type Permit interface {
	Release(r Result)
}

// ResultKind classifies how a request ended.
type ResultKind uint8

// The kinds of results.
const (
	ResultOK ResultKind = iota + 1
	// ResultError is a response with status 500 or above.
	ResultError
	// ResultReset means that the target broke the connection.
	ResultReset
	// ResultTimeout means that the request timed out.
	ResultTimeout
	// ResultCanceled means that the caller went away, which says nothing about the target.
	ResultCanceled
	// ResultNotSent means that the target could not be reached.
	ResultNotSent
	// ResultCrashed means that the target broke the connection and its process has died.
	ResultCrashed
	// ResultShed means that the target refused the request without running it.
	ResultShed
	// ResultCallFailed is a response with status 500 or above to a request whose downstream calls were not served,
	// which says nothing about the target.
	ResultCallFailed
	// ResultOverdue is a 504 response of a target at the end of the time that it was given. Some requests need more
	// time than their route permits, so it is weaker evidence than a failure.
	ResultOverdue
)

// Result is the outcome of a request at a target.
type Result struct {
	Kind     ResultKind
	Duration time.Duration
	// Sent is set once the request was handed to the target.
	Sent bool
}

// TrackRequest is what the detection of unhealthy targets needs to know about a request.
type TrackRequest struct {
	Target     model.TargetRef
	Route      string
	Idempotent bool
}

// Handle tracks one request.
type Handle interface {
	// Progress reports that a part of the response arrived, so that a long download does not count as stalled.
	Progress()
	Finish(r Result)
}

// Tracker observes the requests of all targets.
type Tracker interface {
	Start(r TrackRequest) Handle
}

// StoredResponse is a response that the key ledger keeps for a replay.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// KeyLedger records the idempotency keys of requests that were handed to a target.
type KeyLedger interface {
	Admit(key string) bool
	// Finish records the response; nil means that it is too large to keep.
	Finish(key string, response *StoredResponse)
	// Fail records that the request may have run and has no response.
	Fail(key string)
	// Release removes a key whose request certainly did not reach the target.
	Release(key string)
}

// Suspect is a request that was running when its target died.
type Suspect struct {
	Service     string
	Fingerprint uint64
	Idempotent  bool
	// KnownCrashes are the crashes under the request that the edge knew of when it sent it.
	KnownCrashes model.Crashes
	// Abandoned means that its caller had given up, so that the request may have ended before the crash.
	Abandoned bool
}

// PoisonVerdict tells whether a request may run.
type PoisonVerdict uint8

// The verdicts on a request.
const (
	PoisonClear PoisonVerdict = iota
	// PoisonSuspect permits the request to run only as a granted trial.
	PoisonSuspect
	PoisonQuarantined
)

// TrialVerdict tells whether a suspect request may run now.
type TrialVerdict uint8

// The verdicts on a trial.
const (
	// TrialRefused permits no run now; a later request may get the trial.
	TrialRefused TrialVerdict = iota
	// TrialGranted permits only this run; its result must be reported.
	TrialGranted
	// TrialUnneeded means that the request is no longer suspect.
	TrialUnneeded
	TrialQuarantined
)

// PoisonDetector detects the requests that crash targets.
type PoisonDetector interface {
	Verdict(service string, fingerprint uint64) PoisonVerdict
	// Trial asks the nodes that saw the crash to grant the only further run of a suspect request.
	Trial(ctx context.Context, s Suspect) TrialVerdict
	// EndTrial reports whether the target survived a granted trial.
	EndTrial(s Suspect, survived bool)
	// Crashed reports a request that was in flight when the target died, once per fingerprint and crash. It returns
	// when the suspicion was sent to the other agents of the service.
	Crashed(target model.TargetRef, s Suspect)
}

// CrashCounter receives the requests that a target has served successfully.
type CrashCounter interface {
	RequestSucceeded(fingerprint uint64)
}

const (
	defaultInterimInterval = time.Second
	defaultExpiry          = 6 * time.Second
	expiryCheckInterval    = time.Second
	// maxStoredBytes bounds the responses that are kept for a replay; 64 KiB is the documented limit.
	maxStoredBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.NewLimiter == nil {
		c.NewLimiter = newSlotLimiter
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
	if c.InterimInterval <= 0 {
		c.InterimInterval = defaultInterimInterval
	}
	if c.Expiry <= 0 {
		c.Expiry = defaultExpiry
	}
	return c
}
