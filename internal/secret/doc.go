// Package secret holds the fleet secrets that a node accepts besides its own while the fleet changes its secret.
//
// Usage:
//
//	accepted := secret.NewSet(secret.Config{Secrets: [][]byte{previous}})
//	for i, s := range accepted.Secrets() {
//		if matches(s) {
//			accepted.Used(i)
//		}
//	}
package secret
