// Package meter publishes the measurements of a node by OpenTelemetry.
//
// Usage:
//
//	m, err := meter.New()
//	m.Counter("auburnwinch.edge.retries", "retries sent by the edge", edge.Retries)
//	router.Handler(http.MethodGet, "/metrics", m.Handler())
//
// Counters and gauges are read when they are scraped, so the request path pays only for its own atomics.
package meter
