package edge

import (
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// behindRetryAfter is longer than a newer configuration usually takes to reach all nodes.
	behindRetryAfter = 500 * time.Millisecond
	// parentMemory bounds how long a target may still make calls for a request that an earlier process of the node relayed.
	parentMemory = time.Minute
)

// Accounts identifies client accounts by their keys.
type Accounts interface {
	// Identify returns the client account that holds the key. Required is false while the configuration in force has no
	// client accounts; account is nil if none of them holds the key.
	Identify(key string) (account *model.ClientAccount, required bool)
	// Confirmed reports whether the keys are recent enough to be relied on.
	Confirmed() bool
}

// identify determines the client account of the request, and refuses the request if it needs one and has none.
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
	switch {
	case key == "" && q.parent != "" && q.mayBeCall():
		return relay.Refusal{}, true
	case q.match.Route.Public && account == nil:
		return relay.Refusal{}, true
	case !accounts.Confirmed() && !q.match.Route.Public:
		return behindRefusal("the keys of client accounts have not been confirmed recently"), false
	case account == nil && q.edge.isBehind():
		return behindRefusal("a newer configuration, which may have this key, is on its way"), false
	case account == nil:
		return notRunRefusal(http.StatusUnauthorized, "the request has no key of a client account", remedyFix), false
	}
	q.account = account
	if account.HasRank {
		q.rank = account.Rank
	}
	return relay.Refusal{}, true
}

// mayBeCall reports whether the target on this VM may have made the request while it ran the parent. An earlier process of
// this node may have relayed the parent.
func (q *request) mayBeCall() bool {
	if q.parentRuns {
		return true
	}
	return q.edge.config.Clock.Now().Sub(q.edge.startedAt) < parentMemory
}

// addAccountFields tells the agent the client account, which callers can't state themselves where accounts have keys. A
// nested call takes turns with the requests of its parent's account, but does not belong to it.
func (q *request) addAccountFields() {
	switch {
	case q.edge.config.Accounts == nil:
		if account := q.r.Header[model.HeaderAccount]; len(account) > 0 {
			q.addField(model.HeaderAccount, account[0])
		}
	case q.account != nil:
		q.addField(model.HeaderAccount, q.account.Name)
	case q.parentAccount != "":
		q.addField(model.HeaderParentAccount, q.parentAccount)
	}
	if q.keyHeader != "" {
		q.omit = append(q.omit, q.keyHeader)
	}
}

// isBehind reports whether another node has a newer configuration.
func (e *Edge) isBehind() bool {
	c := e.config.Configurations
	return c != nil && c.Behind()
}

// behindRefusal refuses a request about which this node can't decide until it has the newest configuration.
func behindRefusal(reason string) relay.Refusal {
	r := notRunRefusal(http.StatusServiceUnavailable, reason, remedyLater)
	r.RetryAfter = addJitter(behindRetryAfter)
	return r
}
