// Package relay is the protocol between edge and agent over HTTP/1.1, and the client connections that both use.
//
// Usage:
//
//	pool := relay.NewPool(relay.PoolConfig{Address: "10.0.0.7:7101"})
//	conn, err := pool.Get(ctx, relay.ConnAny)
//	response, err := conn.RoundTrip(ctx, &relay.Request{Method: "GET", URI: "/", Host: "courtview"})
//	_, err = io.Copy(w, response.Body)
//	conn.Release()
//
// The connections send each request exactly once. net/http's Transport is not used, because it repeats requests by
// itself when a reused connection breaks, which would run a request twice.
package relay
