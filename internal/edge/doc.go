// Package edge implements the HTTP server of the edge role: it accepts requests of callers, chooses targets, retries
// failed attempts where that is safe, and delivers the response.
//
// Usage:
//
//	e, err := edge.New(edge.Config{View: cell, Secret: secret, Picker: picker, Tracker: tracker, Keys: owner})
//	e.SetRoutes(table)
//	server := edge.NewServer(e, logger)
//	go server.Serve(edge.NewListener(listener, logger))
package edge
