package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// attempt is one call of Do.
type attempt struct {
	client  *Client
	request Request
	sends   int
	// unanswered is set when a send may still be on its way, so that a later not-run says nothing about it.
	unanswered bool
}

// verdict is what follows from one send.
type verdict struct {
	response *Response
	failure  *Error
	wait     time.Duration
	// free tells that a resend only waits for the answer of a request that runs.
	free bool
}

func (a *attempt) run(ctx context.Context) (*Response, error) {
	for {
		response, err := a.client.send(ctx, a.request)
		a.sends++
		v := a.judge(response, err)
		switch {
		case v.response != nil:
			return v.response, nil
		case v.wait == 0:
			return nil, v.failure
		case a.sends >= a.client.config.MaxSends:
			v.failure.Err = errors.Join(v.failure.Err, errGivenUp)
			return nil, v.failure
		case !v.free && !a.client.budget.Withdraw():
			v.failure.Err = errors.Join(v.failure.Err, errBudget)
			return nil, v.failure
		}
		if err := wait(ctx, v.wait); err != nil {
			v.failure.Err = errors.Join(v.failure.Err, err)
			return nil, v.failure
		}
	}
}

// judge decides what follows; a verdict without a wait is final.
func (a *attempt) judge(r *Response, err error) verdict {
	switch {
	case errors.Is(err, errTooLarge):
		return verdict{failure: a.failure(model.OutcomeDone, r, err)}
	case err != nil:
		a.unanswered = true
		a.client.nextEdge()
		return verdict{failure: a.failure(model.OutcomeUnknown, r, err), wait: spread(backoff << min(a.sends-1, maxShift))}
	}
	switch outcome := model.Outcome(r.Header.Get(model.HeaderOutcome)); outcome {
	case model.OutcomeDone:
		r.Sends = a.sends
		return verdict{response: r}
	case model.OutcomeNotRun, model.OutcomeUnknown:
		return verdict{
			failure: a.failure(outcome, r, nil), wait: a.retryAfter(r.Header), free: r.Status == http.StatusConflict,
		}
	default:
		// An answer without an outcome is not from the fleet, for instance from a gateway before it.
		a.unanswered = true
		return verdict{failure: a.failure(model.OutcomeUnknown, r, nil), wait: spread(backoff << min(a.sends-1, maxShift))}
	}
}

const (
	// maxShift bounds the doubling of the backoff, to 12.8 s before it is spread.
	maxShift = 6
	// spreadShare is the part of a wait by which it may grow at random, so that clients which failed together do not
	// return together. A wait never shrinks: Retry-After is the earliest time.
	spreadShare = 2
)

func spread(d time.Duration) time.Duration {
	return d + rand.N(d/spreadShare+1)
}

func (a *attempt) failure(o model.Outcome, r *Response, err error) *Error {
	e := &Error{Outcome: o, Key: a.request.Key, Sends: a.sends, Err: err}
	if o == model.OutcomeNotRun && a.unanswered {
		e.Outcome = model.OutcomeUnknown
	}
	if r != nil {
		e.Status, e.Reason = r.Status, reason(r)
	}
	return e
}

// retryAfter returns how long to wait before the next send; zero means that a repeat makes no sense.
func (a *attempt) retryAfter(h http.Header) time.Duration {
	value := h.Get("Retry-After")
	if value == "" {
		return 0
	}
	d := time.Duration(0)
	if seconds, err := strconv.Atoi(value); err == nil {
		d = time.Duration(seconds) * time.Second
	} else if at, err := http.ParseTime(value); err == nil {
		d = time.Until(at)
	} else {
		return 0
	}
	if d > a.client.config.MaxWait {
		return 0
	}
	return spread(max(d, backoff))
}

// wait fails at once when the deadline would pass meanwhile.
func wait(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return context.DeadlineExceeded
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
