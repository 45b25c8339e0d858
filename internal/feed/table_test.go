package feed_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// fleet is a fake store with the nodes of one failure domain, which watch its table.
type fleet struct {
	t       *testing.T
	store   *fake.Store
	address string
	nodes   []*node
}

// node is one process: its row, its feed and its watch.
type node struct {
	id           string
	domain       string
	table        *feed.Table
	server       *feed.Server
	watcher      *roster.Watcher
	disconnected atomic.Bool

	mu      sync.Mutex
	values  map[string]string
	numbers numbers
	// forgotten holds the keys of rows that the store has lost.
	forgotten []string
}

// disconnectableStore forwards calls to the store unless the node is disconnected from it.
type disconnectableStore struct {
	feed.Store
	disconnected *atomic.Bool
}

func (s disconnectableStore) check() error {
	if s.disconnected.Load() {
		return net.ErrClosed
	}
	return nil
}

// Watch fails immediately if the node is disconnected, and also if it is disconnected during the call.
func (s disconnectableStore) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	if err := s.check(); err != nil {
		return roster.Page{}, err
	}
	page, err := s.Store.Watch(ctx, after, wait)
	if disconnected := s.check(); disconnected != nil {
		return roster.Page{}, disconnected
	}
	return page, err
}

func (s disconnectableStore) Read(ctx context.Context) (roster.Page, error) {
	if err := s.check(); err != nil {
		return roster.Page{}, err
	}
	return s.Store.Read(ctx)
}

func (s disconnectableStore) ReadPartition(ctx context.Context, partition string) (roster.Page, error) {
	if err := s.check(); err != nil {
		return roster.Page{}, err
	}
	return s.Store.ReadPartition(ctx, partition)
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: fake.NewStore(fake.Config{})}
	server := httptest.NewServer(f.store)
	f.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.close()
		}
		server.CloseClientConnections()
		server.Close()
	})
	for i := range size {
		f.add(fmt.Sprintf("node-%d", i))
	}
	return f
}

// add writes the row of a node and starts its feed and its watch.
func (f *fleet) add(id string) *node {
	f.t.Helper()
	n := &node{id: id, domain: "a", values: make(map[string]string)}
	store := platform.NewStore(platform.StoreConfig{Address: f.address})
	n.table = feed.NewTable(feed.Config{
		Store: disconnectableStore{Store: store.Table("nodes"), disconnected: &n.disconnected}, Self: id, Domain: n.domain, BatchDelay: 10 * time.Millisecond,
		Configurations: &n.numbers,
	})
	server, err := feed.NewServer(feed.ServerConfig{Address: "127.0.0.1:0", Table: n.table})
	require.NoError(f.t, err)
	n.server = server
	record := roster.Record{Node: model.Node{
		Ref: model.NodeRef{ID: id, Incarnation: 1}, Domain: n.domain, RelayAddress: "10.0.0.1:1", PeerAddress: server.Address(),
	}}
	f.store.Put("nodes", n.domain, id, record.Encode())
	n.watcher = roster.NewWatcher(roster.WatcherConfig{Table: n.table, OnRows: n.take, BatchDelay: time.Millisecond})
	f.nodes = append(f.nodes, n)
	return n
}

func (n *node) take(p roster.Page) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Whole {
		clear(n.values)
	}
	for _, row := range p.Rows {
		if row.Forgotten {
			n.forgotten = append(n.forgotten, row.Key)
			continue
		}
		if delete(n.values, row.Key); !row.Deleted {
			n.values[row.Key] = string(row.Value)
		}
	}
}

func (n *node) value(key string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.values[key]
}

// recalled reports whether the node has heard of a row that the store has lost.
func (n *node) recalled(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.forgotten, key)
}

func (n *node) close() {
	if n.watcher == nil {
		return
	}
	n.server.Close()
	n.watcher.Close()
	n.table.Close()
	n.watcher = nil
}

// waitForValue waits until all running nodes have the value.
func (f *fleet) waitForValue(key, value string, within time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.nodes {
			if n.watcher != nil && n.value(key) != value {
				return false
			}
		}
		return true
	}, within, 2*time.Millisecond)
}

// waitForReaders waits until exactly two nodes read the store.
func (f *fleet) waitForReaders() (readers, followers []*node) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		readers, followers = nil, nil
		for i := range 3 {
			f.store.Put("nodes", "b", "tick", []byte(fmt.Sprint(time.Now().UnixNano(), i)))
			time.Sleep(30 * time.Millisecond)
		}
		calls := make([]int64, len(f.nodes))
		for i, n := range f.nodes {
			calls[i] = n.table.StoreCalls()
		}
		f.store.Put("nodes", "b", "tick", []byte(fmt.Sprint(time.Now().UnixNano())))
		time.Sleep(100 * time.Millisecond)
		for i, n := range f.nodes {
			switch {
			case n.watcher == nil:
			case n.table.StoreCalls() > calls[i]:
				readers = append(readers, n)
			default:
				followers = append(followers, n)
			}
		}
		return len(readers) == 2
	}, 15*time.Second, 10*time.Millisecond)
	return readers, followers
}

// Setup: nodes start together and a change is made. Guards against a call to the store for each node and change, and
// against followers that miss the change.
func TestTwoNodesReadForTheDomain(t *testing.T) {
	f := newFleet(t, 12)
	f.waitForReaders()
	before := f.store.Calls("rows-feed")
	for i := range 10 {
		value := fmt.Sprint(i)
		f.store.Put("nodes", "b", "row", []byte(value))
		f.waitForValue("row", value, time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	require.LessOrEqual(t, f.store.Calls("rows-feed")-before, 2*2*10, "of 120 calls without readers")
}

// Guards against followers that receive no changes after their readers failed, and against a node that starts at that
// time and receives none.
func TestFollowersSurviveReaderFailure(t *testing.T) {
	f := newFleet(t, 8)
	readers, _ := f.waitForReaders()
	for _, n := range readers {
		n.close()
	}
	f.store.Put("nodes", "b", "row", []byte("after"))
	f.waitForValue("row", "after", 2*time.Second)
	late := f.add("late")
	require.Eventually(t, func() bool { return late.value("row") == "after" }, 2*time.Second, time.Millisecond)
}

// Setup: the store refuses one reader and serves the other nodes. Guards against followers of a reader without new
// rows, and against that reader missing changes that other nodes receive.
func TestReaderRefusedByStore(t *testing.T) {
	f := newFleet(t, 8)
	readers, _ := f.waitForReaders()
	readers[0].disconnected.Store(true)
	f.store.Put("nodes", "b", "wake", []byte("1")) // Ends the waiting call.
	f.waitForValue("wake", "1", 2*time.Second)
	for i := range 5 {
		value := fmt.Sprint("value-", i)
		f.store.Put("nodes", "b", "row", []byte(value))
		f.waitForValue("row", value, 2*time.Second)
	}
	readers[0].disconnected.Store(false)
	f.store.Put("nodes", "b", "row", []byte("back"))
	f.waitForValue("row", "back", 2*time.Second)
}

// Guards against a deleted row that remains at nodes which read a whole table from another node, and against a follower
// that misses the deletion.
func TestDeletedRowsAreRemovedEverywhere(t *testing.T) {
	f := newFleet(t, 5)
	f.store.Put("nodes", "b", "gone", []byte("1"))
	f.waitForValue("gone", "1", 2*time.Second)
	f.waitForReaders()
	f.store.Delete("nodes", "b", "gone")
	f.waitForValue("gone", "", 2*time.Second)
	late := f.add("late")
	require.Eventually(t, func() bool { return late.value("late") != "" }, 2*time.Second, time.Millisecond)
	require.Empty(t, late.value("gone"))
}

// Guards against a follower that hangs on a frozen node, whose connections stay open without a response.
func TestUnresponsiveReaderIsAbandoned(t *testing.T) {
	f := newFleet(t, 0)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	for _, id := range []string{"silent-1", "silent-2", "silent-3"} {
		record := roster.Record{Node: model.Node{
			Ref: model.NodeRef{ID: id, Incarnation: 1}, Domain: "a", RelayAddress: "10.0.0.1:1", PeerAddress: silent.Addr().String(),
		}}
		f.store.Put("nodes", "a", id, record.Encode())
	}
	n := f.add("node")
	f.store.Put("nodes", "b", "row", []byte("1"))
	require.Eventually(t, func() bool { return n.value("row") == "1" }, 3*time.Second, time.Millisecond)
}

// Guards against chains of followers, in which a change arrives late or never, and against a refusal without a reason.
func TestFollowerOfAFollowerIsRefused(t *testing.T) {
	f := newFleet(t, 6)
	_, followers := f.waitForReaders()
	client, err := rpc.Dial("tcp", followers[0].server.Address())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	require.Eventually(t, func() bool {
		err := client.Call("Feed.Watch", feed.WatchArgs{}, &feed.WatchReply{})
		return err != nil && err.Error() == feed.ErrNotReading.Error()
	}, 2*time.Second, 10*time.Millisecond)
}
