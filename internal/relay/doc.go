// Package relay implements the HTTP/1.1 protocol between edge and agent, and the client connections that both use.
//
// Usage:
//
//	pool := relay.NewPool(relay.PoolConfig{Address: "10.0.0.7:7101"})
//	conn, err := pool.Get(ctx, relay.ConnAny)
//	response, err := conn.RoundTrip(ctx, &relay.Request{Method: "GET", URI: "/", Host: "courtview"})
//	_, err = io.Copy(w, response.Body)
//	conn.Release()
//
// The connections send each request exactly once. The Transport of net/http is not used, because it retries requests by
// itself when a reused connection breaks, which would run a request twice.
package relay
