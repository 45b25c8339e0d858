// Package roster shares the records of nodes through a table of rows. Each node writes one row and watches the rows of
// all other nodes.
//
// Usage:
//
//	w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: func(p roster.Page) { ... }})
//	defer w.Close()
//	p := roster.NewPublisher(roster.PublisherConfig{Table: table, Partition: domain, Key: node})
//	p.Publish(record)
//
// Writes are conditional on the version of the row, so that a delayed write never overwrites a newer one.
package roster
