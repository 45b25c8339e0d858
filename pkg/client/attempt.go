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

// requestRun is the state of one call of Do.
type requestRun struct {
	client  *Client
	request Request
	sends   int
	// mayStillRun is set when an earlier send may still reach a target; a later not-run outcome does not cover that
	// send.
	mayStillRun bool
}

// sendResult is the classified result of one send.
type sendResult struct {
	response *Response
	failure  *Error
	wait     time.Duration
	// budgetFree is set when a resend only polls for the answer of a running request, which costs no retry budget.
	budgetFree bool
}

func (a *requestRun) run(ctx context.Context) (*Response, error) {
	for {
		response, err := a.client.send(ctx, a.request)
		a.sends++
		v := a.classify(response, err)
		switch {
		case v.response != nil:
			return v.response, nil
		case v.wait == 0:
			return nil, v.failure
		case a.sends >= a.client.config.MaxSends:
			v.failure.Err = errors.Join(v.failure.Err, errMaxSends)
			return nil, v.failure
		case !v.budgetFree && !a.client.budget.Withdraw():
			v.failure.Err = errors.Join(v.failure.Err, errRetryBudget)
			return nil, v.failure
		}
		if err := wait(ctx, v.wait); err != nil {
			v.failure.Err = errors.Join(v.failure.Err, err)
			return nil, v.failure
		}
	}
}

// classify decides what to do after a send; a result without a wait is final.
func (a *requestRun) classify(r *Response, err error) sendResult {
	switch {
	case errors.Is(err, errTooLarge):
		return sendResult{failure: a.failure(model.OutcomeDone, r, err)}
	case err != nil:
		a.mayStillRun = true
		a.client.nextEdge()
		return sendResult{failure: a.failure(model.OutcomeUnknown, r, err), wait: addJitter(backoff << min(a.sends-1, maxBackoffShift))}
	}
	switch outcome := model.Outcome(r.Header.Get(model.HeaderOutcome)); outcome {
	case model.OutcomeDone:
		r.Sends = a.sends
		return sendResult{response: r}
	case model.OutcomeNotRun, model.OutcomeUnknown:
		return sendResult{
			failure: a.failure(outcome, r, nil), wait: a.retryAfter(r.Header), budgetFree: r.Status == http.StatusConflict,
		}
	default:
		// A response without an outcome header is not from the fleet, for instance from a gateway in front of it.
		a.mayStillRun = true
		return sendResult{failure: a.failure(model.OutcomeUnknown, r, nil), wait: addJitter(backoff << min(a.sends-1, maxBackoffShift))}
	}
}

const (
	// maxBackoffShift bounds the doubling of the backoff, to 12.8 s before jitter is added.
	maxBackoffShift = 6
	// jitterDivisor limits the jitter to half of the wait. Jitter keeps clients that failed together from retrying
	// together. It only lengthens a wait, because Retry-After is the earliest permitted time.
	jitterDivisor = 2
)

func addJitter(d time.Duration) time.Duration {
	return d + rand.N(d/jitterDivisor+1)
}

func (a *requestRun) failure(o model.Outcome, r *Response, err error) *Error {
	e := &Error{Outcome: o, Key: a.request.Key, Sends: a.sends, Err: err}
	if o == model.OutcomeNotRun && a.mayStillRun {
		e.Outcome = model.OutcomeUnknown
	}
	if r != nil {
		e.Status, e.Reason = r.Status, reason(r)
	}
	return e
}

// retryAfter returns the wait before the next send; zero means that a retry is pointless.
func (a *requestRun) retryAfter(h http.Header) time.Duration {
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
	return addJitter(max(d, backoff))
}

// wait fails immediately if the deadline would pass during the wait.
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
