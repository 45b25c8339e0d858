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
	View *view.Cell
	// Secret signs relayed requests; without it they are not signed.
	Secret []byte
	// Picker chooses targets; without it a random candidate is chosen.
	Picker Picker
	// Tracker receives start and end of each attempt for the detection of unhealthy targets and paths.
	Tracker Tracker
	// Keys decides where keyed and non-idempotent requests run; without it, a request in doubt is unknown.
	Keys Keys
	// Poison refuses requests that crash targets.
	Poison Poison
	// Retry sizes the retry budget of each service.
	Retry  retry.Config
	Clock  timer.Service
	Logger log.Logger
	Dial   relay.DialFunc

	// SilentReused and SilentAny bound the silence before the answer starts, on a reused connection until its first
	// byte and on any connection; default 500 ms and 3 s.
	SilentReused time.Duration
	SilentAny    time.Duration
	// BodyIdle bounds the silence within a body; default 10 s, and 3 s on resumable routes.
	BodyIdle      time.Duration
	BodyIdleRange time.Duration
	// DefaultTimeout holds for routes without a timeout; default 30 s.
	DefaultTimeout time.Duration
}

// PickRequest is what the choice of a target needs to know of a request.
type PickRequest struct {
	Service    *view.Service
	Route      *model.RouteSpec
	Idempotent bool
	// Tried are the targets of earlier attempts of the same request.
	Tried []model.TargetRef
}

// Choice is a chosen target. Token belongs to the picker.
type Choice struct {
	Candidate view.Candidate
	Token     any
}

// Load is the load that the agent reported with an answer; Known is false when there was no report.
type Load struct {
	relay.Load
	Known bool
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

// Send is a request as the key owner sees it.
type Send struct {
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
	// DecisionAnswer holds the stored answer of an earlier run.
	DecisionAnswer
	// DecisionInProgress means that an earlier send still runs.
	DecisionInProgress
	// DecisionUnknown means that the request may have run.
	DecisionUnknown
	// DecisionNotRun means that the request did not run and won't.
	DecisionNotRun
)

// Answer is a stored answer.
type Answer struct {
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
	Answer     *Answer
	RetryAfter time.Duration
	// BadKey tells that the key is malformed or belongs to another request, so that a repeat makes no sense.
	BadKey bool
}

// Keys is the owner of idempotency keys.
type Keys interface {
	Token() string
	Begin(ctx context.Context, s Send) Decision
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
	Service string
	Method  string
	Path    string
	Query   string
	Body    []byte
}

// Poison knows the requests that crash targets.
type Poison interface {
	Fingerprint(r PoisonRequest) uint64
	Quarantined(service string, fingerprint uint64) bool
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
	orDefault(&c.SilentReused, defaultSilentReused)
	orDefault(&c.SilentAny, defaultSilentAny)
	orDefault(&c.BodyIdle, defaultBodyIdle)
	orDefault(&c.BodyIdleRange, defaultBodyIdleRange)
	orDefault(&c.DefaultTimeout, defaultTimeout)
	return c
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
