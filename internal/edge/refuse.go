package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// retrySoon is the smallest value that Retry-After can express.
	retrySoon = time.Second
	// retrySpread is the number of whole seconds among which refusals draw their Retry-After. With one value for all,
	// callers that were refused in one moment return in one moment.
	retrySpread = 3
)

const (
	remedyLater   = "send the request again after the time in Retry-After"
	remedyUnknown = "the request may have run; query the outcome of its key, or send it again with the same key"
	remedyFix     = "correct the request before you send it again"
	remedyResend  = "the request may have run; it is safe to send it again"
)

func notRun(status int, reason, remedy string) relay.Refusal {
	r := relay.Refusal{Status: status, Answer: model.Answer{Outcome: model.OutcomeNotRun, Reason: reason, Remedy: remedy}}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r.RetryAfter = spreadRetry()
	}
	return r
}

// BodyTooLarge refuses a request whose body exceeds the limit of the configuration.
func BodyTooLarge() relay.Refusal {
	return notRun(http.StatusRequestEntityTooLarge, "the body is larger than the configuration permits", remedyFix)
}

func spreadRetry() time.Duration {
	return retrySoon + time.Duration(rand.IntN(retrySpread))*time.Second
}

// spreadOver returns a time between the span and twice the span.
func spreadOver(span time.Duration) time.Duration {
	return span + rand.N(span)
}

func unknown(status int, reason, remedy string) relay.Refusal {
	return relay.Refusal{
		Status: status, Answer: model.Answer{Outcome: model.OutcomeUnknown, Reason: reason, Remedy: remedy},
	}
}

// ofAgent translates the reason of an agent that refused the request for certain.
func ofAgent(reason string) relay.Refusal {
	switch reason {
	case relay.ReasonAccountShare:
		return notRun(http.StatusTooManyRequests, "the account holds its whole share of the service", remedyLater)
	case relay.ReasonPoison:
		return poisoned()
	case relay.ReasonNoSlot:
		return notRun(http.StatusServiceUnavailable, "all slots of the service are taken", remedyLater)
	case relay.ReasonDeadline:
		return notRun(http.StatusServiceUnavailable, "no slot would be free within the time of the request", remedyLater)
	case "":
		reason = "the node of the target can't be reached"
	}
	return notRun(http.StatusServiceUnavailable, reason, remedyLater)
}

func poisoned() relay.Refusal {
	r := notRun(http.StatusUnprocessableEntity, "requests like this one crashed the targets that ran them",
		"don't send this request again; report it to the operators of the service")
	r.RetryAfter = poison.CounterExpiry
	return r
}
