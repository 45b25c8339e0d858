package edge

import (
	"cmp"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// behindRetryAfter is longer than a newer configuration usually takes to reach all nodes.
	behindRetryAfter = 500 * time.Millisecond
	// rankScale is the number of ranks of routes within each rank of client accounts; higher ranks count as the last one.
	rankScale = 1 << 8
)

// Accounts identifies client accounts by their keys.
type Accounts interface {
	// Identify returns the client account that holds the key. Required is false while the configuration in force has no
	// client accounts; account is nil if none of them holds the key.
	Identify(key string) (account *model.ClientAccount, required bool)
	// Confirmed reports whether the keys are recent enough to be relied on.
	Confirmed() bool
}

// identify determines the client account of the request, and refuses the request if it needs one and has none. Only calls of the
// target on this VM need none, while it runs the request that makes them. An earlier process of the node may have relayed that
// request, but its response was lost with that process, so nobody gains by calls for it.
func (q *request) identify() (relay.Refusal, bool) {
	accounts := q.edge.config.Accounts
	if accounts == nil {
		return relay.Refusal{}, true
	}
	key, header := q.edge.config.Protocol.AccountKey(q.r)
	account, required := accounts.Identify(key)
	if !required {
		return relay.Refusal{}, true
	}
	q.keyHeader = header
	if !q.parentRuns || account != nil {
		q.rank = rankWith(account, q.match.Route.Rank)
	}
	switch {
	case key == "" && q.parentRuns:
		return relay.Refusal{}, true
	case q.match.Route.Public && account == nil:
		return relay.Refusal{}, true
	case !accounts.Confirmed() && !q.match.Route.Public:
		return q.undecided("the keys of client accounts have not been confirmed recently"), false
	case account == nil && q.edge.isBehind():
		return q.undecided("a newer configuration, which may have this key, is on its way"), false
	case account == nil && key == "" && q.parent != "":
		return q.undecided("the request that makes this call does not run here"), false
	case account == nil:
		q.edge.counters.unauthorized.Add(1)
		return notRunRefusal(http.StatusUnauthorized, "the request has no key of a client account", remedyFix), false
	}
	q.account = account
	q.standAlone()
	return relay.Refusal{}, true
}

// standAlone makes the request one of its caller, whatever its id says: nested calls carry no key.
func (q *request) standAlone() {
	q.parent, q.parentAccount = "", ""
	q.parentRuns, q.parentRetry, q.hasProgress = false, false, false
}

// rankWith orders requests by the rank of their client account and then by that of their route. Requests of an account
// without a rank take the rank of their route for both.
func rankWith(a *model.ClientAccount, route int) int {
	first := route
	if a != nil && a.HasRank {
		first = a.Rank
	}
	bounded := func(rank int) int { return min(max(rank, 0), rankScale-1) }
	return bounded(first)*rankScale + bounded(route)
}

// addAccountFields tells the agent the client account, which callers can't state themselves where accounts have keys. A
// nested call takes turns with the requests of its parent's account, but does not belong to it.
func (q *request) addAccountFields() {
	if account := q.ownAccount(); account != "" {
		q.addField(model.HeaderAccount, account)
	} else if q.parentAccount != "" {
		q.addField(model.HeaderParentAccount, q.parentAccount)
	}
	if q.keyHeader != "" {
		q.omit = append(q.omit, q.keyHeader)
	}
}

// ownAccount returns the client account to which the request belongs, or "". Without keys the caller states it.
func (q *request) ownAccount() string {
	switch {
	case q.edge.config.Accounts == nil:
		return q.r.Header.Get(model.HeaderAccount)
	case q.account != nil:
		return q.account.Name
	default:
		return ""
	}
}

// accountName returns the client account with whose requests this one takes turns, or "".
func (q *request) accountName() string {
	return cmp.Or(q.ownAccount(), q.parentAccount)
}

// isBehind reports whether another node has a newer configuration.
func (e *Edge) isBehind() bool {
	c := e.config.Configurations
	return c != nil && c.Behind()
}

// undecided refuses a request that this node can't judge with what it knows at present.
func (q *request) undecided(reason string) relay.Refusal {
	q.edge.counters.undecided.Add(1)
	r := notRunRefusal(http.StatusServiceUnavailable, reason, remedyLater)
	r.RetryAfter = addJitter(behindRetryAfter)
	return r
}
