// Package client sends requests to the fleet with idempotency keys and retries them when the fleet permits it.
//
// Usage:
//
//	c, err := client.New(client.Config{Edges: []string{"http://10.0.0.7:8080"}, Account: "kleefwerk"})
//	response, err := c.Do(ctx, client.Request{Method: http.MethodPost, Path: "/orders", Body: order})
//	var failure *client.Error
//	if errors.As(err, &failure) && failure.Outcome == model.OutcomeNotRun {
//		// the request did not run and never will
//	}
package client
