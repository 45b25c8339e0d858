// Package feed distributes the rows of a shared table within a failure domain: two of its nodes read the store, and the
// others follow them. The number of calls to the store thus grows with the number of failure domains, not of nodes.
//
// Usage:
//
//	t := feed.NewTable(feed.Config{Store: nodes, Self: self.Ref.ID, Domain: self.Domain})
//	server, err := feed.NewServer(feed.ServerConfig{Address: self.PeerAddress, Table: t})
//	if err != nil {
//		return err
//	}
//	watcher := roster.NewWatcher(roster.WatcherConfig{Table: t, OnRows: take})
package feed
