// Package meter publishes the metrics of a node through OpenTelemetry.
//
// Usage:
//
//	m, err := meter.New()
//	m.Counter("auburnwinch.edge.retries", "retries sent by the edge", edge.Retries)
//	router.Handler(http.MethodGet, "/metrics", m.Handler())
//
// Counters and gauges are read at scrape time, so the request path only pays for its atomic counters.
package meter
