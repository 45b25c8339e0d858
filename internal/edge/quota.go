package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Quotas bounds the requests of client accounts over the whole fleet.
type Quotas interface {
	// Take takes a token for a request of the account, and may wait shortly for other nodes. Unless ok, the request exceeds
	// the quota, and retryAfter is the expected time until it would not.
	Take(ctx context.Context, account *model.ClientAccount) (token QuotaToken, retryAfter time.Duration, ok bool)
	// GiveBack returns the token of a request that did not run.
	GiveBack(account *model.ClientAccount, token QuotaToken)
}

// QuotaToken is the permission to run one request of an account; Expires is private to Quotas.
type QuotaToken struct {
	Expires time.Duration
}

// takeQuota takes the request out of the quota of its account; it refuses the request and returns false if it exceeds the
// quota. Nested calls have no account of their own.
func (q *request) takeQuota(ctx context.Context) bool {
	quotas := q.edge.config.Quotas
	if quotas == nil || q.account == nil || q.account.Quota.Rate <= 0 {
		return true
	}
	token, retryAfter, ok := quotas.Take(ctx, q.account)
	if !ok {
		q.refuseAttempts(quotaRefusal(retryAfter))
		return false
	}
	q.quotaToken, q.quotaTaken = token, true
	return true
}

// returnQuota gives the token back unless the request may have run.
func (q *request) returnQuota() {
	if q.quotaTaken && q.refusal.Answer.Outcome == model.OutcomeNotRun {
		q.edge.config.Quotas.GiveBack(q.account, q.quotaToken)
	}
}

func quotaRefusal(retryAfter time.Duration) relay.Refusal {
	r := notRunRefusal(http.StatusTooManyRequests, "the quota of the account is used up", remedyLater)
	r.RetryAfter = retryAfter
	return r
}
