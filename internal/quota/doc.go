// Package quota bounds the requests of each client account over the whole fleet. A request takes one token. Each of N
// nodes creates 1/N of the tokens of every account and hands them to the pool of its failure domain, which lends them to
// the nodes that need them; the domains exchange their surplus through one pool of the fleet. A token carries its expiry,
// counted from its creation, wherever it moves: in a window, no more requests run than tokens were created in the window
// and in one lifetime before it.
//
// Usage:
//
//	c := quota.New(quota.Config{Self: self, Bounds: bounds, Dial: dial})
//	server, err := feed.NewServer(address, table, c.Service())
//	c.SetNodes(nodes)
//	c.SetAccounts(accounts)
//	grant := c.Take(ctx, account)
package quota
