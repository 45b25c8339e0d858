// Package store is the client of the platform's table service and object store.
//
// Credentials and endpoints come from Config only. Every write can be retried after a lost response. A circuit breaker
// per service fails calls immediately while the service is unavailable.
//
// Usage:
//
//	s, err := store.New(store.Config{TableEndpoint: endpoint, Table: "auburnwinch" /* ... */})
//	if err != nil {
//		return err
//	}
//	receipt, err := s.FileTicket(ctx, t)
//
// Layout of the table, with string keys `pk` (partition) and `sk` (sort):
//
//	pk            sk                 content
//	ticket        head               number and digest of the last accepted ticket
//	ticket        t#<20 digits>      one accepted ticket
//	key#<hash>    claim              owner token of a plain idempotency key, by its SHA-256
//	node          <node ID>          registry row of a node
package store
