package store

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/smithy-go"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// slowAfter is the duration from which a call that its caller canceled counts as a failure of the service.
// A shorter deadline says nothing about the platform; a quarter of the timeout of an attempt does.
const slowAfter = DefaultTimeout / 4

// Stats holds the counters of one service of the platform since the start of the process, and its availability.
type Stats struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Failures    uint64 `json:"failures"`
	Refused     uint64 `json:"refused"`
	Unavailable bool   `json:"away"`
}

// service counts the calls to one service of the platform and sends them through a breaker.
type service struct {
	name     string
	breaker  breaker
	reads    atomic.Uint64
	writes   atomic.Uint64
	failures atomic.Uint64
	refused  atomic.Uint64
}

func newService(name string, clock timer.Service) *service {
	return &service{name: name, breaker: breaker{clock: clock}}
}

// read sends one read through the breaker.
func (s *service) read(ctx context.Context, operation string, call func(context.Context) error) error {
	s.reads.Add(1)
	return s.do(ctx, operation, call)
}

// write sends one write through the breaker.
func (s *service) write(ctx context.Context, operation string, call func(context.Context) error) error {
	s.writes.Add(1)
	return s.do(ctx, operation, call)
}

func (s *service) do(ctx context.Context, operation string, call func(context.Context) error) error {
	if !s.breaker.allow() {
		s.refused.Add(1)
		return &UnavailableError{Service: s.name, Operation: operation, Cause: errBreakerOpen}
	}
	started := s.breaker.clock.Now()
	err := call(ctx)
	switch {
	case err == nil || isRefusal(err):
		s.breaker.done(true)
		return err
	case ctx.Err() != nil && s.breaker.clock.Now().Sub(started) < slowAfter:
		s.breaker.release()
	default:
		s.failures.Add(1)
		s.breaker.done(false)
	}
	return &UnavailableError{Service: s.name, Operation: operation, Sent: true, Cause: err}
}

func (s *service) stats() Stats {
	return Stats{
		Reads:       s.reads.Load(),
		Writes:      s.writes.Load(),
		Failures:    s.failures.Load(),
		Refused:     s.refused.Load(),
		Unavailable: s.breaker.open(),
	}
}

// isRefusal reports whether the service processed and refused the request, rather than being unavailable or overloaded.
func isRefusal(err error) bool {
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return false
	}
	status := response.HTTPStatusCode()
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return false
	}
	var refusal smithy.APIError
	return errors.As(err, &refusal) && !isThrottle(refusal.ErrorCode())
}

func isThrottle(code string) bool {
	switch code {
	case "ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded", "SlowDown":
		return true
	default:
		return false
	}
}

// TableStats returns the counters of the table service.
func (s *Store) TableStats() Stats {
	return s.tableService.stats()
}

// ObjectStats returns the counters of the object store.
func (s *Store) ObjectStats() Stats {
	return s.objectService.stats()
}
