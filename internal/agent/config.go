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

// Config holds the parts of an agent; each may be left out.
type Config struct {
	Self model.NodeRef
	// View tells which services exist; without it every service is accepted.
	View *view.Holder
	// Secret verifies relayed requests; without it they are not verified.
	Secret []byte
	// Accepted are further secrets that edges may sign with during a change of the secret.
	Accepted *secret.Set
	// NewLimiter makes the admission control of a target; without it the slots are the limit and nobody waits.
	NewLimiter func(model.Target, model.ServiceSpec) Limiter
	// Tracker receives start and end of each request for the detection of unhealthy targets.
	Tracker Tracker
	// KeyLedger refuses keys that were seen before and keeps answers.
	KeyLedger KeyLedger
	// PoisonDetector refuses requests that crash targets, and is told of crashes.
	PoisonDetector PoisonDetector
	// CrashCounter is told of requests that a target has answered after a crash.
	CrashCounter CrashCounter
	// OnTargets is called with all targets after a change.
	OnTargets func([]model.Target)
	Clock     timer.Service
	Logger    log.Logger
	Dial      relay.DialFunc
	// InterimInterval is the time between interim answers; default 1 s.
	InterimInterval time.Duration
	// Expiry is the time after which a target that no longer announces itself is dropped; default 6 s.
	Expiry time.Duration
	// Protocol is what targets speak beyond plain HTTP; without one it is the product's own.
	Protocol Protocol
	// Configurations tells the number in force, and hears those of other nodes.
	Configurations Configurations
	// RequestLogger is told of the end of each relayed request.
	RequestLogger RequestLogger
	// MaxResponseBytes bounds the body of an answer; zero means no bound.
	MaxResponseBytes int64
	// SingleTarget tells that a single target runs on this VM: a new one replaces the one before it.
	SingleTarget bool
	// DisableLivenessConns saves the connections by which a crash is told from a broken connection when a target restarts at once.
	DisableLivenessConns bool
}

// Protocol is what targets speak beyond plain HTTP.
type Protocol interface {
	// ID returns the id of the request for the log, or nothing.
	ID(r *http.Request) string
	// Header returns headers to add to a request for the target, and headers of the caller to leave out.
	Header(r *http.Request, target model.TargetRef, left time.Duration) (add []relay.Field, omit []string)
	// Matches reports whether the answer is that of the request.
	Matches(r *http.Request, response *http.Response) bool
	// Verdict tells what an answer says about the request beyond its status.
	Verdict(response *http.Response) Verdict
}

// Verdict is what a target says about a request that it answers.
type Verdict uint8

// The verdicts of a target.
const (
	// VerdictOK means that the answer is that of the request.
	VerdictOK Verdict = iota
	// VerdictShed means that the target has not run the request and won't.
	VerdictShed
	// VerdictWrongTarget means that another target has the address; the request did not run.
	VerdictWrongTarget
	// VerdictInvalid means that the answer can't be that of a target; the request may have run.
	VerdictInvalid
)

// Configurations tells which configuration is in force.
type Configurations interface {
	Number() uint64
	// Observe takes the number that another node has in force.
	Observe(number uint64)
}

// RequestRecord tells how a relayed request ended.
type RequestRecord struct {
	ID      string
	Target  model.TargetRef
	Class   relay.Class
	Outcome model.Outcome
	Reason  string
	Status  int
	Waited  time.Duration
	Ran     time.Duration
	Load    relay.Load
	// Fingerprint is the same for all attempts of one request; zero means that it is not known.
	Fingerprint uint64
}

// RequestLogger takes note of relayed requests.
type RequestLogger interface {
	LogRelayed(r RequestRecord)
}

// Limiter admits requests to one target.
type Limiter interface {
	Acquire(ctx context.Context, r AdmitRequest) (Permit, error)
	Load() relay.Load
}

// Configurable is a limiter that follows changed slots and service settings; others are replaced.
type Configurable interface {
	Configure(slots int, spec model.ServiceSpec)
}

// AdmitRequest is what admission needs to know of a request.
type AdmitRequest struct {
	Account  string
	Deadline time.Time
	// Route names the kind of request.
	Route string
	Class relay.Class
	// Patience is how long the request may wait for a slot; Negotiated tells that the edge has stated it.
	Patience    time.Duration
	HasPatience bool
	// Objective is when the answer has lost most of its value; the zero value means never.
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
	// ResultError is an answer of the target with status 500 or above.
	ResultError
	// ResultReset means that the target broke the connection.
	ResultReset
	// ResultTimeout means that the time ran out.
	ResultTimeout
	// ResultCanceled means that the caller went away, which says nothing about the target.
	ResultCanceled
	// ResultNotSent means that the target could not be reached.
	ResultNotSent
	// ResultCrashed means that the target broke the connection and refuses new ones.
	ResultCrashed
	// ResultShed means that the target refused the request without running it.
	ResultShed
	// ResultCallFailed is an answer with status 500 or above to a request whose calls were not served, which says nothing
	// about the target.
	ResultCallFailed
	// ResultOverdue is the answer 504 of a target at the end of the time that it was given. Some requests need more than
	// their route permits, so that it says less than a failure.
	ResultOverdue
)

// Result is the end of a request at a target.
type Result struct {
	Kind     ResultKind
	Duration time.Duration
}

// TrackRequest is what detection needs to know of a request.
type TrackRequest struct {
	Target     model.TargetRef
	Route      string
	Idempotent bool
}

// Handle tracks one request.
type Handle interface {
	// Progress tells that a part of the answer arrived, so that a long download does not count as stalled.
	Progress()
	Finish(r Result)
}

// Tracker observes the requests of all targets.
type Tracker interface {
	Start(r TrackRequest) Handle
}

// StoredResponse is an answer that the ledger keeps for a resend.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// KeyLedger keeps the keys of requests that were handed to a target.
type KeyLedger interface {
	Admit(key string) bool
	// Finish records the answer; nil means that it is too large to keep.
	Finish(key string, answer *StoredResponse)
	// Fail records that the request may have run and has no answer.
	Fail(key string)
	// Release takes back a key whose request certainly did not reach the target.
	Release(key string)
}

// Suspect is a request that was in flight when its target died.
type Suspect struct {
	Service     string
	Fingerprint uint64
	Idempotent  bool
	// KnownCrashes is what the edge knew of crashes under the request when it sent it.
	KnownCrashes model.Crashes
}

// PoisonVerdict says whether a request may run.
type PoisonVerdict uint8

// The verdicts on a request.
const (
	PoisonClear PoisonVerdict = iota
	// PoisonSuspect permits the request to run only as a granted trial.
	PoisonSuspect
	PoisonQuarantined
)

// TrialVerdict says whether a suspect request may run now.
type TrialVerdict uint8

// The verdicts on a trial.
const (
	// TrialRefused permits no run now; a later request may get the trial.
	TrialRefused TrialVerdict = iota
	// TrialGranted permits this run only; its result must be reported.
	TrialGranted
	// TrialUnneeded means that the request is no longer suspect.
	TrialUnneeded
	TrialQuarantined
)

// PoisonDetector knows the requests that crash targets.
type PoisonDetector interface {
	Verdict(service string, fingerprint uint64) PoisonVerdict
	// Trial asks the nodes that saw the crash for the only further run of a suspect request.
	Trial(ctx context.Context, s Suspect) TrialVerdict
	// EndTrial reports whether the target survived a granted trial.
	EndTrial(s Suspect, survived bool)
	// Crashed reports a request that was in flight when the target died, once per fingerprint and death. It returns
	// when the suspicion was sent to the other agents of the service.
	Crashed(target model.TargetRef, s Suspect)
}

// CrashCounter takes note of the requests that a target has answered with success.
type CrashCounter interface {
	RequestSucceeded(fingerprint uint64)
}

const (
	defaultInterim = time.Second
	defaultExpiry  = 6 * time.Second
	expiryCheck    = time.Second
	// maxAnswerBytes bounds the answers that are kept for a resend, as the design page says.
	maxAnswerBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	if c.NewLimiter == nil {
		c.NewLimiter = newSlots
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
	if c.InterimInterval <= 0 {
		c.InterimInterval = defaultInterim
	}
	if c.Expiry <= 0 {
		c.Expiry = defaultExpiry
	}
	return c
}
