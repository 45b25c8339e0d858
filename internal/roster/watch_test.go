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

// observer keeps the newest value of each row that a watch returned.
type observer struct {
	mu     sync.Mutex
	values map[string]string
	whole  int
}

func (o *observer) onRows(p roster.Page) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p.Whole {
		o.values, o.whole = make(map[string]string), o.whole+1
	}
	for _, row := range p.Rows {
		o.values[row.Key] = string(row.Value)
	}
}

func (o *observer) value(key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.values[key]
}

func (o *observer) wholeReads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.whole
}

func startStore(t *testing.T) (*fake.Store, roster.Table) {
	t.Helper()
	store := fake.NewStore(fake.Config{})
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return store, platform.NewStore(platform.StoreConfig{Address: strings.TrimPrefix(server.URL, "http://")}).Table("nodes")
}

// recoveryBound is the time within which a node must have the current rows again after the store has recovered.
const recoveryBound = 2 * time.Second

// Guards against a watcher that receives no rows after the store was unavailable and has dropped its history.
func TestWatcherRecovers(t *testing.T) {
	store, table := startStore(t)
	store.Put("nodes", "p", "a", []byte("1"))
	o := &observer{}
	w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: o.onRows, BatchDelay: time.Millisecond})
	defer w.Close()
	require.Eventually(t, func() bool { return o.value("a") == "1" }, recoveryBound, time.Millisecond)

	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	store.Put("nodes", "p", "a", []byte("2")) // Ends the pending call; the next ones are refused.
	time.Sleep(1500 * time.Millisecond)
	store.Put("nodes", "p", "a", []byte("3"))
	store.DropHistory()
	store.SetFault(nil)
	require.Eventually(t, func() bool { return o.value("a") == "3" }, recoveryBound, time.Millisecond)
	require.GreaterOrEqual(t, o.wholeReads(), 2, "the whole table was read again")
	store.Put("nodes", "p", "b", []byte("4"))
	require.Eventually(t, func() bool { return o.value("b") == "4" }, recoveryBound, time.Millisecond)
}

// Guards against a row without the last value after the store lost responses, applied calls late or refused them.
func TestPublisherStoresLastValueDespiteFaults(t *testing.T) {
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
	store.Put("nodes", "p", "own", []byte("of an earlier process"))
	p := roster.NewPublisher(roster.PublisherConfig{Table: table, Partition: "p", Key: "own"})
	defer p.Close()
	for _, value := range []string{"1", "2", "3", "4", "5"} {
		p.Publish([]byte(value))
		time.Sleep(100 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return string(store.Get("nodes", "p", "own").Value) == "5" }, 10*time.Second, 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, "5", string(store.Get("nodes", "p", "own").Value), "a late write must not overwrite the last one")
}

// Guards against a watcher that keeps waiting for a call which an unresponsive store has dropped, long after the store
// has recovered.
func TestWatcherLeavesForgottenCalls(t *testing.T) {
	store, table := startStore(t)
	store.Put("nodes", "p", "a", []byte("1"))
	o := &observer{}
	w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: o.onRows, BatchDelay: time.Millisecond, Wait: time.Second})
	defer w.Close()
	require.Eventually(t, func() bool { return o.value("a") == "1" }, recoveryBound, time.Millisecond)
	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Hang: true} })
	time.Sleep(4 * time.Second)
	store.Put("nodes", "p", "a", []byte("2"))
	store.SetFault(nil)
	require.Eventually(t, func() bool { return o.value("a") == "2" }, recoveryBound, time.Millisecond)

	slow := &observer{}
	other := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: slow.onRows, BatchDelay: time.Millisecond})
	defer other.Close()
	require.Eventually(t, func() bool { return slow.value("a") == "2" }, recoveryBound, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // Until the first call is pending.
	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Hang: true} })
	store.Put("nodes", "p", "a", []byte("3")) // Ends the pending call; the store drops the next one.
	require.Eventually(t, func() bool { return slow.value("a") == "3" }, recoveryBound, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	store.SetFault(nil)
	store.Put("nodes", "p", "a", []byte("4"))
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, "3", slow.value("a"), "the store has dropped the call of 30 s")
	other.Refresh()
	require.Eventually(t, func() bool { return slow.value("a") == "4" }, recoveryBound, time.Millisecond)
}

// Pattern: the store is unresponsive for so long that the delays between calls have grown to their bound. Guards against
// watchers that hear of its return later than the bound, which depends on the moment of their last call.
func TestManyWatchersLeaveForgottenCalls(t *testing.T) {
	store, table := startStore(t)
	store.Put("nodes", "p", "a", []byte("1"))
	observers := make([]*observer, 40)
	for i := range observers {
		observers[i] = &observer{}
		w := roster.NewWatcher(roster.WatcherConfig{Table: table, OnRows: observers[i].onRows, BatchDelay: time.Millisecond, Wait: time.Second})
		defer w.Close()
	}
	awaitAll := func(value string) {
		t.Helper()
		for end, i := time.Now().Add(recoveryBound), 0; i < len(observers); {
			if observers[i].value("a") == value {
				i++
				continue
			}
			require.True(t, time.Now().Before(end), "watcher %d has %q instead of %q", i, observers[i].value("a"), value)
			time.Sleep(time.Millisecond)
		}
	}
	awaitAll("1")
	store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Hang: true} })
	time.Sleep(9 * time.Second)
	store.Put("nodes", "p", "a", []byte("2"))
	store.SetFault(nil)
	awaitAll("2")
}
