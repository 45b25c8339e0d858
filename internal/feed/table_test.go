package feed_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/rpc"
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

// fleet is a stand-in of the store with nodes of one failure domain that watch its table.
type fleet struct {
	t       *testing.T
	store   *fake.Store
	address string
	nodes   []*node
}

// node is one process: its row, its feed and its watch.
type node struct {
	id      string
	domain  string
	table   *feed.Table
	server  *feed.Server
	watcher *roster.Watcher
	cut     atomic.Bool

	mu     sync.Mutex
	values map[string]string
}

// cutStore passes calls on to the store unless the node is cut off from it.
type cutStore struct {
	feed.Store
	cut *atomic.Bool
}

func (s cutStore) check() error {
	if s.cut.Load() {
		return net.ErrClosed
	}
	return nil
}

// Watch fails at once, and as soon as the node is cut off.
func (s cutStore) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	if err := s.check(); err != nil {
		return roster.Page{}, err
	}
	page, err := s.Store.Watch(ctx, after, wait)
	if cut := s.check(); cut != nil {
		return roster.Page{}, cut
	}
	return page, err
}

func (s cutStore) Read(ctx context.Context) (roster.Page, error) {
	if err := s.check(); err != nil {
		return roster.Page{}, err
	}
	return s.Store.Read(ctx)
}

func (s cutStore) ReadPartition(ctx context.Context, part string) (roster.Page, error) {
	if err := s.check(); err != nil {
		return roster.Page{}, err
	}
	return s.Store.ReadPartition(ctx, part)
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
		Store: cutStore{Store: store.Table("nodes"), cut: &n.cut}, Self: id, Domain: n.domain, BatchDelay: 10 * time.Millisecond,
	})
	server, err := feed.NewServer("127.0.0.1:0", n.table)
	require.NoError(f.t, err)
	n.server = server
	record := roster.Record{Node: model.Node{
		Ref: model.NodeRef{ID: id, Incarnation: 1}, Domain: n.domain, RelayAddress: "r", PeerAddress: server.Address(),
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

func (n *node) close() {
	if n.watcher == nil {
		return
	}
	n.server.Close()
	n.watcher.Close()
	n.table.Close()
	n.watcher = nil
}

// know waits until all running nodes know the value.
func (f *fleet) know(key, value string, within time.Duration) {
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

// settle waits until two nodes read the store.
func (f *fleet) settle() (readers, followers []*node) {
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

// Pattern: nodes start together and a change comes. Guards against a call to the store for each node and change, and against
// followers that miss it.
func TestTwoNodesReadForTheDomain(t *testing.T) {
	f := newFleet(t, 12)
	f.settle()
	before := f.store.Calls("rows-feed")
	for i := range 10 {
		value := fmt.Sprint(i)
		f.store.Put("nodes", "b", "row", []byte(value))
		f.know("row", value, time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	require.LessOrEqual(t, f.store.Calls("rows-feed")-before, 2*2*10, "of 120 calls without readers")
}

// Guards against followers that stay blind after their readers died, and against a node that starts then.
func TestFollowersOutliveTheirReaders(t *testing.T) {
	f := newFleet(t, 8)
	readers, _ := f.settle()
	for _, n := range readers {
		n.close()
	}
	f.store.Put("nodes", "b", "row", []byte("after"))
	f.know("row", "after", 2*time.Second)
	late := f.add("late")
	require.Eventually(t, func() bool { return late.value("row") == "after" }, 2*time.Second, time.Millisecond)
}

// Pattern: the store turns one reader away and serves the others. Guards against followers of a reader that knows nothing
// new, and against the reader itself that is blind beside nodes that are served.
func TestReaderThatIsTurnedAway(t *testing.T) {
	f := newFleet(t, 8)
	readers, _ := f.settle()
	readers[0].cut.Store(true)
	f.store.Put("nodes", "b", "wake", []byte("1")) // Ends the call that waits.
	f.know("wake", "1", 2*time.Second)
	for i := range 5 {
		value := fmt.Sprint("value-", i)
		f.store.Put("nodes", "b", "row", []byte(value))
		f.know("row", value, 2*time.Second)
	}
	readers[0].cut.Store(false)
	f.store.Put("nodes", "b", "row", []byte("back"))
	f.know("row", "back", 2*time.Second)
}

// Guards against a row that has left and stays with nodes that take a whole table from another one, and against a follower
// that misses the deletion.
func TestRemovedRowsLeaveEverywhere(t *testing.T) {
	f := newFleet(t, 5)
	f.store.Put("nodes", "b", "gone", []byte("1"))
	f.know("gone", "1", 2*time.Second)
	f.settle()
	f.store.Delete("nodes", "b", "gone")
	f.know("gone", "", 2*time.Second)
	late := f.add("late")
	require.Eventually(t, func() bool { return late.value("late") != "" }, 2*time.Second, time.Millisecond)
	require.Empty(t, late.value("gone"))
}

// Guards against a follower that hangs on a frozen node: its connections stay open and silent.
func TestSilentReaderIsLeft(t *testing.T) {
	f := newFleet(t, 0)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	for _, id := range []string{"silent-1", "silent-2", "silent-3"} {
		record := roster.Record{Node: model.Node{
			Ref: model.NodeRef{ID: id, Incarnation: 1}, Domain: "a", RelayAddress: "r", PeerAddress: silent.Addr().String(),
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
	_, followers := f.settle()
	client, err := rpc.Dial("tcp", followers[0].server.Address())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	require.Eventually(t, func() bool {
		err := client.Call("Feed.Watch", feed.WatchArgs{}, &feed.WatchReply{})
		return err != nil && err.Error() == feed.ErrNotReading.Error()
	}, 2*time.Second, 10*time.Millisecond)
}
