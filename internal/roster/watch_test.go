package roster_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/platform"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// follower keeps the newest value of each row as a watch has shown it.
type follower struct {
	mu     sync.Mutex
	values map[string]string
	whole  int
}

func (f *follower) take(p roster.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Whole {
		f.values, f.whole = make(map[string]string), f.whole+1
	}
	for _, row := range p.Rows {
		f.values[row.Key] = string(row.Value)
	}
}

func (f *follower) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[key]
}

func (f *follower) wholes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.whole
}

func startStore(t *testing.T) (*fake.Store, roster.Table) {
	t.Helper()
	store := fake.NewStore(fake.Config{})
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return store, platform.NewStore(platform.StoreConfig{Address: strings.TrimPrefix(server.URL, "http://")}).Table("nodes")
}

// backWithin is the time within which a node must know again what is in the store after the store's return.
const backWithin = 2 * time.Second

// Guards against a node that stays blind after the store was away, slow to answer, or has lost its history.
func TestWatcherComesBack(t *testing.T) {
	store, table := startStore(t)
	store.Put("nodes", "p", "a", []byte("1"))
	f := &follower{}
	w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: f.take, BatchDelay: time.Millisecond})
	defer w.Close()
	require.Eventually(t, func() bool { return f.value("a") == "1" }, backWithin, time.Millisecond)

	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	store.Put("nodes", "p", "a", []byte("2")) // Ends the call that waits; the next ones are refused.
	time.Sleep(1500 * time.Millisecond)
	store.Put("nodes", "p", "a", []byte("3"))
	store.DropHistory()
	store.SetFault(nil)
	require.Eventually(t, func() bool { return f.value("a") == "3" }, backWithin, time.Millisecond)
	require.GreaterOrEqual(t, f.wholes(), 2, "the table was read anew")
	store.Put("nodes", "p", "b", []byte("4"))
	require.Eventually(t, func() bool { return f.value("b") == "4" }, backWithin, time.Millisecond)
}

// Guards against a record that is missing after answers of the store were lost, came late or were refused.
func TestPublisherComesThrough(t *testing.T) {
	store, table := startStore(t)
	var mu sync.Mutex
	calls := 0
	store.SetFault(func(c fake.Call) fake.Fault {
		mu.Lock()
		defer mu.Unlock()
		if calls++; c.Name != "rows-tx" {
			return fake.Fault{}
		}
		switch calls % 4 {
		case 0:
			return fake.Fault{DropResponse: true}
		case 1:
			return fake.Fault{ApplyAfter: 300 * time.Millisecond}
		case 2:
			return fake.Fault{Status: http.StatusTooManyRequests}
		default:
			return fake.Fault{}
		}
	})
	store.Put("nodes", "p", "own", []byte("of an earlier run"))
	p := roster.NewPublisher(roster.PublisherConfig{Table: table, Partition: "p", Key: "own"})
	defer p.Close()
	for _, value := range []string{"1", "2", "3", "4", "5"} {
		p.Publish([]byte(value))
		time.Sleep(100 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return string(store.Get("nodes", "p", "own").Value) == "5" }, 10*time.Second, 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, "5", string(store.Get("nodes", "p", "own").Value), "a late write must not undo the last one")
}

// Guards against a watch that waits for an answer to a call that a silent store took and forgot, long after the store's
// return.
func TestWatcherLeavesForgottenCalls(t *testing.T) {
	store, table := startStore(t)
	store.Put("nodes", "p", "a", []byte("1"))
	f := &follower{}
	w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: f.take, BatchDelay: time.Millisecond, Wait: time.Second})
	defer w.Close()
	require.Eventually(t, func() bool { return f.value("a") == "1" }, backWithin, time.Millisecond)
	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Hang: true} })
	time.Sleep(4 * time.Second)
	store.Put("nodes", "p", "a", []byte("2"))
	store.SetFault(nil)
	require.Eventually(t, func() bool { return f.value("a") == "2" }, backWithin, time.Millisecond)

	slow := &follower{}
	other := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: slow.take, BatchDelay: time.Millisecond})
	defer other.Close()
	require.Eventually(t, func() bool { return slow.value("a") == "2" }, backWithin, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // Until the first call waits.
	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Hang: true} })
	store.Put("nodes", "p", "a", []byte("3")) // Ends the call that waits; the next one is forgotten.
	require.Eventually(t, func() bool { return slow.value("a") == "3" }, backWithin, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	store.SetFault(nil)
	store.Put("nodes", "p", "a", []byte("4"))
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, "3", slow.value("a"), "the call of 30 s is forgotten")
	other.Refresh()
	require.Eventually(t, func() bool { return slow.value("a") == "4" }, backWithin, time.Millisecond)
}
