// Package secret holds the additional fleet secrets that a node accepts during a rotation of the fleet secret.
//
// Usage:
//
//	accepted := secret.NewSet(secret.Config{Secrets: [][]byte{previous}})
//	_, ok := accepted.Match(func(i int) bool { return authentic(accepted.Secrets()[i]) })
package secret
