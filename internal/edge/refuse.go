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
	// minRetryAfter is the smallest positive value that Retry-After can express.
	minRetryAfter = time.Second
	// retryAfterValues is the number of different Retry-After values, in whole seconds. A single value would make
	// callers that were refused together return together.
	retryAfterValues = 3
)

const (
	remedyLater   = "send the request again after the time in Retry-After"
	remedyUnknown = "the request may have run; query the outcome of its key, or send it again with the same key"
	remedyFix     = "correct the request before you send it again"
	remedyResend  = "the request may have run; it is safe to send it again"
)

func notRunRefusal(status int, reason, remedy string) relay.Refusal {
	r := relay.Refusal{Status: status, Answer: model.Answer{Outcome: model.OutcomeNotRun, Reason: reason, Remedy: remedy}}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r.RetryAfter = randomRetryAfter()
	}
	return r
}

// BodyTooLarge returns the refusal of a request whose body exceeds the configured limit.
func BodyTooLarge() relay.Refusal {
	return notRunRefusal(http.StatusRequestEntityTooLarge, "the body is larger than the configuration permits", remedyFix)
}

func randomRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(rand.IntN(retryAfterValues))*time.Second
}

// addJitter returns a random duration between d and twice d.
func addJitter(d time.Duration) time.Duration {
	return d + rand.N(d)
}

func unknownRefusal(status int, reason, remedy string) relay.Refusal {
	return relay.Refusal{
		Status: status, Answer: model.Answer{Outcome: model.OutcomeUnknown, Reason: reason, Remedy: remedy},
	}
}

// agentRefusal returns the refusal for the reason that an agent gave for a request that did not run.
func agentRefusal(reason string) relay.Refusal {
	switch reason {
	case relay.ReasonAccountShare:
		return notRunRefusal(http.StatusTooManyRequests, "the account holds its whole share of the service", remedyLater)
	case relay.ReasonPoison:
		return poisonRefusal()
	case relay.ReasonNoSlot:
		return notRunRefusal(http.StatusServiceUnavailable, "all slots of the service are taken", remedyLater)
	case relay.ReasonDeadline:
		return notRunRefusal(http.StatusServiceUnavailable, "no slot would be free within the time of the request", remedyLater)
	case relay.ReasonRateLimit:
		return notRunRefusal(http.StatusServiceUnavailable, "the targets of the service state rate limits that are used up", remedyLater)
	case "":
		reason = "the node of the target can't be reached"
	}
	return notRunRefusal(http.StatusServiceUnavailable, reason, remedyLater)
}

func poisonRefusal() relay.Refusal {
	r := notRunRefusal(http.StatusUnprocessableEntity, "requests like this one crashed the targets that ran them",
		"don't send this request again; report it to the operators of the service")
	r.RetryAfter = poison.CounterExpiry
	return r
}
