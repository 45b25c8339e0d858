package feed_test

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform"
)

// olderFeed is the feed of a build that does not tell how recent its rows are.
type olderFeed struct{}

// Watch returns no rows.
func (olderFeed) Watch(_ feed.WatchArgs, reply *feed.WatchReply) error {
	time.Sleep(50 * time.Millisecond)
	reply.Page.Version = 1
	return nil
}

// introduce tells the node at the address of another one.
func introduce(t *testing.T, address string, other feed.Peer) {
	t.Helper()
	caller, err := rpc.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	require.NoError(t, caller.Call("Feed.Introduce", feed.IntroduceArgs{From: other, Peers: []feed.Peer{other}}, &feed.IntroduceReply{}))
}

// Pattern: the store fails at a starting node for a moment, and the node follows one of a build that does not tell how recent its
// rows are. Guards against a node that takes such rows for recent ones, and against one that waits for recent ones forever and
// never publishes its record.
func TestStartingNodeReadsItsDomainAfterAll(t *testing.T) {
	f := newFleet(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Feed", olderFeed{}))
	go server.Accept(listener)
	record := roster.Record{Node: model.Node{Ref: model.NodeRef{ID: "self", Incarnation: 1}, Domain: "a", RelayAddress: "10.0.0.1:1"}}
	f.store.Put("nodes", "a", "self", record.Encode())

	var disconnected atomic.Bool
	disconnected.Store(true)
	known := make(chan []roster.Row, 2)
	store := platform.NewStore(platform.StoreConfig{Address: f.address})
	table := feed.NewTable(feed.Config{
		Store: disconnectableStore{Store: store.Table("nodes"), disconnected: &disconnected}, Self: "self", Domain: "a",
		OnDomainRows: func(rows []roster.Row) { known <- rows },
	})
	own, err := feed.NewServer(feed.ServerConfig{Address: "127.0.0.1:0", Table: table})
	require.NoError(t, err)
	defer own.Close()
	introduce(t, own.Address(), feed.Peer{ID: "older", Incarnation: 1, Address: listener.Addr().String()})
	watcher := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: func(roster.Page) {}})
	defer watcher.Close()
	require.Eventually(t, table.Follows, 2*time.Second, 10*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	require.Empty(t, known, "the rows of the other node may be older than this one")
	disconnected.Store(false)
	select {
	case rows := <-known:
		require.Len(t, rows, 1)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the domain was never read")
	}
}
