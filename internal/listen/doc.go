// Package listen opens the HTTP listeners of a node and serves them until they are closed.
//
// Usage:
//
//	l, err := listen.Open("callers", "10.0.0.5:8080", server)
//	if err != nil {
//		return err
//	}
//	err = l.Run()
package listen
