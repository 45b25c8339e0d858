package quota

import (
	"slices"
	"strings"
	"time"
)

// State describes the quotas of a node for operators.
type State struct {
	// Fraction is the fraction of all tokens that the node creates.
	Fraction float64 `json:"fraction"`
	// DomainPool and FleetPool name the nodes whose pools replied last.
	DomainPool string `json:"domain-pool"`
	FleetPool  string `json:"fleet-pool"`
	// Members is the number of nodes that use the pool of this one.
	Members int `json:"members"`
	// ReplyAge is the time since the last reply of a pool of the failure domain.
	ReplyAge time.Duration  `json:"reply-age"`
	Accounts []AccountState `json:"accounts"`
}

// AccountState describes one account at a node.
type AccountState struct {
	Name string        `json:"name"`
	Rate float64       `json:"rate"`
	Life time.Duration `json:"life"`
	// Held counts the tokens at hand, Domain and Fleet those in the pools of this node, and Requests is the rate of
	// requests per second that began here.
	Held     float64 `json:"held"`
	Domain   float64 `json:"domain"`
	Fleet    float64 `json:"fleet"`
	Requests float64 `json:"requests"`
	Waiting  int     `json:"waiting"`
}

// State returns a snapshot.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	s := State{
		Fraction: c.share.fraction, DomainPool: c.share.pool, FleetPool: c.domain.pool, Members: c.domain.Members(now),
		ReplyAge: now - c.share.stampedAt,
	}
	for name, a := range c.share.accounts {
		state := AccountState{
			Name: name, Rate: a.terms.Rate, Life: a.terms.Life, Held: a.held.total, Requests: a.requests.value(now), Waiting: a.waiting,
		}
		if p := c.domain.accounts[name]; p != nil {
			state.Domain = p.stock.after(now)
		}
		if p := c.fleet.accounts[name]; p != nil {
			state.Fleet = p.stock.after(now)
		}
		s.Accounts = append(s.Accounts, state)
	}
	slices.SortFunc(s.Accounts, func(a, b AccountState) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Members returns the number of nodes that use the pool of this one.
func (c *Client) Members() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domain.Members(c.config.Now())
}

// ReplyAge returns the time since the last reply of a pool; it is zero if no account has a quota.
func (c *Client) ReplyAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.share.accounts) == 0 {
		return 0
	}
	return c.config.Now() - c.share.stampedAt
}
