// Package agent is the HTTP layer of the agent role: it admits relayed requests to the targets on its own VM.
//
// Usage:
//
//	a, err := agent.New(agent.Config{Self: self, View: cell, Secret: secret, OnTargets: publish})
//	go relayServer.Serve(listener) // its handler is a
//	go localServer.Serve(loopback) // its handler is a.LocalHandler()
package agent
