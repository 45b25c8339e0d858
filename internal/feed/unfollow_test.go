package feed_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform"
)

// silentStore refuses reads; its watches wait until they are canceled.
type silentStore struct {
	feed.Store
	watched chan struct{}
}

func (s silentStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (roster.Page, error) {
	select {
	case s.watched <- struct{}{}:
	case <-ctx.Done():
	}
	<-ctx.Done()
	return roster.Page{}, ctx.Err()
}

func (s silentStore) Read(context.Context) (roster.Page, error) { return roster.Page{}, net.ErrClosed }

func (s silentStore) ReadPartition(context.Context, string) (roster.Page, error) {
	return roster.Page{}, net.ErrClosed
}

// Pattern: a node that followed another one reads the store itself from now on, and its first call waits there. Guards against a
// node that still relies on the other one to tell it of a newer configuration.
func TestNodeDoesNotFollowWhileItWaitsAtTheStore(t *testing.T) {
	f := newFleet(t, 1)
	unfollowed := make(chan struct{}, 2)
	store := silentStore{Store: platform.NewStore(platform.StoreConfig{Address: f.address}).Table("nodes"), watched: make(chan struct{})}
	table := feed.NewTable(feed.Config{Store: store, Self: "self", Domain: "a", OnUnfollow: func() { unfollowed <- struct{}{} }})
	server, err := feed.NewServer(feed.ServerConfig{Address: "127.0.0.1:0", Table: table})
	require.NoError(t, err)
	defer server.Close()
	record := roster.Record{Node: model.Node{
		Ref: model.NodeRef{ID: "self", Incarnation: 1}, Domain: "a", RelayAddress: "10.0.0.1:1", PeerAddress: server.Address(),
	}}
	f.store.Put("nodes", "a", "self", record.Encode())
	introduce(t, server.Address(), feed.Peer{ID: "node-0", Incarnation: 1, Address: f.nodes[0].server.Address()})
	watcher := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: func(roster.Page) {}})
	defer watcher.Close()
	select {
	case <-store.watched:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the node never read the store")
	}
	require.False(t, table.Follows())
	require.Len(t, unfollowed, 1, "it followed the other node before")
}
