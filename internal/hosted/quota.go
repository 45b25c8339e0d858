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

// shareQuotas lets this node create its share of the quotas once its row says that it serves. The caller must hold mu.
func (n *Node) shareQuotas() {
	if n.publisher != nil && n.record.Serving() && n.publisher.Stored() {
		n.quotas.SetCounted(true)
	}
}

// registerQuotaMetrics adds the instruments of the quotas.
func (n *Node) registerQuotaMetrics() {
	m, q := n.metrics, n.quotas
	m.Counter("auburnwinch.quota.granted", "requests that took a token of the quota of their account", q.Granted.Load)
	m.Counter("auburnwinch.quota.waited", "requests that waited for a token", q.Waited.Load)
	m.Counter("auburnwinch.quota.refused.exhausted", "requests refused because the quota of their account was used up", q.Refused.Load)
	m.Counter("auburnwinch.quota.refused.late", "requests refused because no pool replied in time", q.Late.Load)
	m.Counter("auburnwinch.quota.given-back", "tokens given back by requests that did not run", q.GivenBack.Load)
	m.Counter("auburnwinch.quota.calls", "calls to pools on other nodes", q.Calls.Load)
	m.Counter("auburnwinch.quota.failed-calls", "calls to pools on other nodes without a reply", q.FailedCalls.Load)
	m.Gauge("auburnwinch.quota.members", "nodes that use the pool of this one", func() int64 { return int64(q.Members()) })
	m.Gauge("auburnwinch.quota.reply-age-milliseconds", "time since the last reply of a pool", func() int64 { return q.ReplyAge().Milliseconds() })
}
