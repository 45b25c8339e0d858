package hosted_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// testGrace is the grace period of the nodes in these tests.
	testGrace = 6 * time.Second
	// lateSend is the time after the termination signal until which a request may be taken that is cut at the end.
	lateSend = 3 * time.Second
	// lateWork is the time after the termination signal from which a request that is still running may be cut.
	lateWork = testGrace * 5 / 6
	// closingTime is the time that a node takes to close its connections before it ends. Requests may cross that.
	closingTime = 500 * time.Millisecond
)

// order is one order of the clients of a stopping node.
type order struct {
	answer
	sent, ended time.Time
}

// Pattern: a node stops in calm while its callers go on sending orders on open connections until the process is gone, more
// than the targets have slots. Guards against taking requests late in the grace period that are cut at its end, and against
// closing a connection without a final answer to a request that was read.
func TestStopTakesNoOrderThatItMustCut(t *testing.T) {
	f, _ := withCaller(t, 2)
	n := f.add("vitrine", "b")
	n.await("kassa", "/read/x")
	for _, node := range f.nodes[:2] {
		node.target.keepAlive()
		node.target.set(func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(rand.N(1200 * time.Millisecond))
			return false
		})
	}
	var (
		mu     sync.Mutex
		orders []order
		group  sync.WaitGroup
	)
	gone := make(chan struct{})
	for client := range 10 {
		group.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-gone:
					return
				case <-time.After(rand.N(40 * time.Millisecond)):
				}
				o := sendOrder(transport, n, fmt.Sprintf("stop-%d-%d", client, i))
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	n.stop()
	<-n.done
	lasted := time.Since(stopped)
	close(gone)
	group.Wait()
	require.Less(t, lasted, testGrace)
	served, refused := 0, 0
	for _, o := range orders {
		ran := f.nodes[0].target.ran(o.id) + f.nodes[1].target.ran(o.id)
		sent, ended := o.sent.Sub(stopped), o.ended.Sub(stopped)
		detail := fmt.Sprintf("%s sent at %v, ended at %v, status %d, err %v, ran %d times:\n%s", o.id, sent, ended, o.status, o.err, ran, f.logOf(o.id))
		require.LessOrEqual(t, ran, 1, detail)
		switch {
		case o.err == nil && o.status == http.StatusOK:
			served++
		case o.err == nil && o.status == http.StatusServiceUnavailable:
			refused++
			require.Zero(t, ran, detail)
		case ran > 0:
			require.True(t, sent <= lateSend && ended >= lateWork, "cut while it ran: %s", detail)
		case o.err != nil:
			require.Greater(t, ended, lasted-closingTime, "closed without an answer: %s", detail)
		}
	}
	require.Greater(t, served, 20)
	require.NotZero(t, refused)
}

// Pattern: a node stops and starts again while the target beside it continues, and other nodes have requests for it. Guards against
// a target that gets nothing from the signal until the next process has its heartbeat, which is over two seconds later (FLOOR),
// and against a request that is cut or runs twice because the target gets it so late.
func TestTargetOfAStoppingNodeIsUsed(t *testing.T) {
	for name, c := range map[string]struct{ grace, used time.Duration }{
		"usual grace": {testGrace, 2 * time.Second},
		"short grace": {1500 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f, caller := withCaller(t, 1)
			n := f.nodes[0]
			n.target.keepAlive()
			n.node.SetGrace(c.grace)
			stopped := time.Now()
			n.stop()
			var last time.Time
			refused := 0
			for i, ended := 0, false; !ended; i++ {
				id := fmt.Sprintf("late-%d", i)
				a := caller.callAs(id, http.MethodPost, "kassa", "/order/1")
				ran := n.target.ran(id)
				switch a.status {
				case http.StatusOK:
					require.Equal(t, 1, ran, id)
					last = time.Now()
				case http.StatusServiceUnavailable:
					require.Zero(t, ran, id)
					refused++
				default:
					require.Fail(t, "neither served nor refused", "%s: status %d, ran %d times:\n%s", id, a.status, ran, f.logOf(id))
				}
				select {
				case <-n.done:
					ended = true
				case <-time.After(10 * time.Millisecond):
				}
			}
			require.Greater(t, last.Sub(stopped), c.used-300*time.Millisecond)
			require.NotZero(t, refused, "the node says that it leaves before it ends")
			require.NoError(t, n.start("a"))
			require.Eventually(t, func() bool {
				return caller.callAs(fmt.Sprintf("again-%d", time.Now().UnixNano()), http.MethodPost, "kassa", "/order/1").status == http.StatusOK
			}, 5*time.Second, 10*time.Millisecond)
			t.Logf("nothing for %v", time.Since(last))
		})
	}
}

// Pattern: a node stops while orders of its callers wait, and slots become free in the last second before it cuts what runs.
// Guards against starting an order that the end of the process then cuts.
func TestStopStartsNoOrderAtItsEnd(t *testing.T) {
	f, caller := withCaller(t, 1)
	f.nodes[0].target.keepAlive()
	other := f.add("vitrine", "a")
	other.await("kassa", "/read/x")
	const freeAt = 4500 * time.Millisecond // Before the cut, which comes at 0.84 of the grace period.
	var stopped time.Time
	free := make(chan struct{})
	f.nodes[0].target.set(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get("Auburnwinch-Request-Id"), "busy") {
			<-free
			return false
		}
		time.Sleep(2 * time.Second)
		return false
	})
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() { other.callAs(fmt.Sprintf("busy-%d", i), http.MethodPost, "kassa", "/long/1") })
	}
	require.Eventually(t, func() bool { return f.nodes[0].atTarget() == 3 }, 3*time.Second, 10*time.Millisecond)
	answers := make(chan answer, 2)
	for i := range 2 {
		group.Go(func() { answers <- caller.callAs(fmt.Sprintf("waiting-%d", i), http.MethodPost, "kassa", "/long/1") })
	}
	time.Sleep(300 * time.Millisecond)
	stopped = time.Now()
	caller.stop()
	time.AfterFunc(freeAt, func() { close(free) })
	for range 2 {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusServiceUnavailable, a.status, "%v after the stop: %s\n%s", time.Since(stopped), a.body, f.logOf(a.id))
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Zero(t, f.nodes[0].target.ran(a.id))
	}
	group.Wait()
	<-caller.done
}

// sendOrder sends an order on an open connection of the transport if it has one.
func sendOrder(transport http.RoundTripper, n *testNode, id string) order {
	o := order{answer: answer{id: id}, sent: time.Now()}
	r, err := http.NewRequest(http.MethodPost, "http://"+n.listeners.Callers+"/order/1", strings.NewReader("order "+id))
	if err != nil {
		o.err = err
		return o
	}
	r.GetBody = nil // The transport must not send it again.
	r.Host = "kassa.example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", "3000")
	response, err := transport.RoundTrip(r)
	if err == nil {
		o.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	o.err, o.ended = err, time.Now()
	return o
}
