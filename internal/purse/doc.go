// Package purse bounds the memory and the connections that a node holds for its clients, so that clients that don't behave
// can't end the process.
//
// Usage:
//
//	p := purse.New(purse.Config{Budget: purse.NewBudget(184<<20, 4100), Clock: clock})
//	defer p.Close()
//	server.Handler = p.Handler(handler, refuse)
//	p.Attach(server)
//	err := server.Serve(p.Listener("callers", socket))
package purse
