// Package feed spreads the rows of a shared table within a failure domain: two of its nodes read the store, the others
// follow these. So the calls to the store grow with the number of failure domains, not with that of the nodes.
//
// Usage:
//
//	t := feed.NewTable(feed.Config{Store: nodes, Self: self.Ref.ID, Domain: self.Domain})
//	server, err := feed.NewServer(self.PeerAddress, t)
//	if err != nil {
//		return err
//	}
//	watcher := roster.NewWatcher(roster.WatcherConfig{Table: t, OnRows: take})
package feed
