package hosted

import (
	"context"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/quota"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// quotaTaker adapts the quotas to the edge.
type quotaTaker struct {
	client *quota.Client
}

// Take takes a token for a request of the account.
func (q quotaTaker) Take(ctx context.Context, a *model.ClientAccount) (edge.QuotaToken, time.Duration, bool) {
	token, retryAfter, ok := q.client.Take(ctx, a.Name)
	return edge.QuotaToken(token), retryAfter, ok
}

// GiveBack returns the token of a request that did not run.
func (q quotaTaker) GiveBack(a *model.ClientAccount, token edge.QuotaToken) {
	q.client.GiveBack(a.Name, quota.Token(token))
}
