// Package roster shares what nodes publish through a table of rows: each node owns one row and watches those of all
// others.
//
// Usage:
//
//	w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: func(p roster.Page) { ... }})
//	defer w.Close()
//	p := roster.NewPublisher(roster.PublisherConfig{Table: table, Part: domain, Key: node})
//	p.Publish(record)
//
// Writes are conditional on the version of the row, so that a write which takes effect late never undoes a newer one.
package roster
