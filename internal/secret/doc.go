// Package secret holds the fleet secrets that a node accepts besides its own while the fleet changes its secret.
//
// Usage:
//
//	accepted := secret.NewSet(secret.Config{Secrets: [][]byte{previous}})
//	_, ok := accepted.Match(func(i int) bool { return authentic(accepted.Secrets()[i]) })
package secret
