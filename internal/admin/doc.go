// Package admin serves the operator endpoints of a node: state, health, metrics, profiles and the tickets in force.
//
// Usage:
//
//	handler := admin.New(admin.Config{
//		Token:    token,
//		Sections: []admin.Section{{Name: "members", Dump: func() any { return peer.Snapshot() }}},
//	})
//
// All paths except /health require the operator token as a bearer token.
package admin
