package edge_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// countedTokens is a quota of a fixed number of requests.
type countedTokens struct{ left, back int }

func (q *countedTokens) Take(context.Context, *model.ClientAccount) (edge.QuotaToken, time.Duration, bool) {
	if q.left == 0 {
		return edge.QuotaToken{}, 7 * time.Second, false
	}
	q.left--
	return edge.QuotaToken{Expires: time.Minute}, 0, true
}

func (q *countedTokens) GiveBack(_ *model.ClientAccount, t edge.QuotaToken) {
	if t.Expires == time.Minute {
		q.left, q.back = q.left+1, q.back+1
	}
}

// timed is a protocol whose refusals state the wait.
type timed struct{ keyed }

func (timed) Refuse(w http.ResponseWriter, r relay.Refusal) { relay.WriteRefusal(w, r) }

// Guards against requests beyond a quota that run or are told a wrong time, against calls of targets and accounts without a
// quota that are counted, and against tokens that requests which have not run keep.
func TestRequestsTakeTokens(t *testing.T) {
	quota := model.Quota{Rate: 1, Burst: 1}
	accounts := map[string]*model.ClientAccount{"k1": {Name: "maker", Quota: quota}, "k2": {Name: "free"}}
	runs := 0
	count := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ })
	tokens := &countedTokens{left: 1}
	c := edge.Config{Quotas: tokens, Accounts: &keys{accounts: accounts}, Protocol: timed{}, Parents: onlyParent{id: "p1"}}
	f := newFleet(t, fleetConfig{edge: c, targets: []http.Handler{count}})
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/orders", nil, "Key", "k1").status)
	refused := f.send(http.MethodPost, "/orders", nil, "Key", "k1")
	require.Equal(t, http.StatusTooManyRequests, refused.status)
	require.Equal(t, model.OutcomeNotRun, refused.outcome())
	require.Equal(t, "7", refused.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/orders", nil, "Key", "k2").status)
	require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/orders", nil, "Parent", "p1").status)
	require.Equal(t, 3, runs)
	require.Zero(t, tokens.back)

	tokens = &countedTokens{left: 1}
	c.Quotas = tokens
	f = newFleet(t, fleetConfig{edge: c})
	for range 3 {
		require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, "/orders", nil, "Key", "k1").status)
	}
	require.Equal(t, 3, tokens.back)
}
