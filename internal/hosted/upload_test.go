package hosted_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// uploadBytes far exceeds all buffers on the request path.
const uploadBytes = 6 << 20

// upload sends a body through the node; a length of -1 sends it chunked.
func (n *testNode) upload(id string, body io.Reader, length int64) answer {
	n.fleet.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+n.listeners.Callers+"/upload/1", body)
	require.NoError(n.fleet.t, err)
	r.Host, r.ContentLength = "kassa.example", length
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", "10000")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return answer{id: id, status: response.StatusCode, header: response.Header, err: err}
}

// runsOf returns how often the request ran, and the checksums of the bodies received completely.
func (f *fleet) runsOf(id string) (runs int, bodies [][sha256.Size]byte) {
	for _, n := range f.nodes {
		runs += n.target.ran(id)
		n.target.mu.Lock()
		if sum, ok := n.target.received[id]; ok {
			bodies = append(bodies, sum)
		}
		n.target.mu.Unlock()
	}
	return runs, bodies
}

// Pattern: callers upload non-idempotent bodies of several megabytes while targets shed requests or close connections
// and callers disconnect. Guards against an upload that runs twice, that is truncated but treated as complete, or whose
// loss is reported as a refusal.
func TestUploads(t *testing.T) {
	f, caller := withCaller(t, 2)
	body := make([]byte, uploadBytes)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	sum := sha256.Sum256(body)
	for i, length := range []int64{uploadBytes, -1} {
		id := fmt.Sprint("whole-", i)
		a := caller.upload(id, bytes.NewReader(body), length)
		require.Equal(t, http.StatusOK, a.status, f.logOf(id))
		runs, bodies := f.runsOf(id)
		require.Equal(t, 1, runs)
		require.Equal(t, [][sha256.Size]byte{sum}, bodies)
	}

	for _, n := range f.nodes[:2] {
		n.target.set(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	}
	a := caller.upload("broken", bytes.NewReader(body), uploadBytes)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status, "the request may have run:\n%s", f.logOf("broken"))
	runs, _ := f.runsOf("broken")
	require.Equal(t, 1, runs)
	for _, n := range f.nodes[:2] {
		n.target.set(nil)
	}
	f.await("kassa", "/read/x")

	conn, err := net.Dial("tcp", caller.listeners.Callers)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: kassa.example\r\nAuburnwinch-Request-Id: left\r\n"+
		"Auburnwinch-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	require.NoError(t, err)
	_, err = conn.Write(body[:uploadBytes/2])
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	time.Sleep(500 * time.Millisecond)
	runs, bodies := f.runsOf("left")
	require.LessOrEqual(t, runs, 1)
	require.Empty(t, bodies, "a truncated body was treated as complete")
}

// Pattern: callers upload to a service without a free slot and disconnect while their bodies are unread. Guards against
// forwarding an upload after its caller has disconnected (found with seed 900236354122 of the spoiled-answers day on
// the grown tallowbark deployment).
func TestUploadOfDepartedCallerIsNotSent(t *testing.T) {
	f, caller := withCaller(t, 1)
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	f.nodes[0].target.set(func(http.ResponseWriter, *http.Request) bool { <-release; return false })
	for i := range 3 {
		go caller.callAs(fmt.Sprint("busy-", i), http.MethodPost, "kassa", "/long/1")
	}
	require.Eventually(t, func() bool {
		running := 0
		for i := range 3 {
			runs, _ := f.runsOf(fmt.Sprint("busy-", i))
			running += runs
		}
		return running == 3
	}, 2*time.Second, time.Millisecond)
	const length = 80 << 10
	conn, err := net.Dial("tcp", caller.listeners.Callers)
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: kassa.example\r\nAuburnwinch-Request-Id: departed\r\n"+
		"Auburnwinch-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", length)
	require.NoError(t, err)
	_, err = conn.Write(make([]byte, length))
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	require.NotContains(t, f.logOf("departed"), "request answered", "the request must wait for a slot")
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return strings.Contains(f.logOf("departed"), "request answered") },
		500*time.Millisecond, 10*time.Millisecond, "the request must be abandoned while it waits")
	free()
	time.Sleep(300 * time.Millisecond)
	runs, _ := f.runsOf("departed")
	require.Zero(t, runs, f.logOf("departed"))
}

// await waits until all nodes serve the path.
func (f *fleet) await(service, path string) {
	f.t.Helper()
	for _, n := range f.nodes {
		n.await(service, path)
	}
}

// Pattern: the body of a request comes slowly, until after its deadline. Guards against an answer that comes late, and
// against one that does not promise that the request has not run (CONFIG).
func TestSlowBodyIsRefusedAtTheDeadline(t *testing.T) {
	f, caller := withCaller(t, 1)
	conn, err := net.Dial("tcp", caller.listeners.Callers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	begin := time.Now()
	const deadline = 800 * time.Millisecond
	_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: kassa.example\r\nAuburnwinch-Request-Id: slow\r\n"+
		"Auburnwinch-Deadline-Ms: %d\r\nContent-Length: 1000\r\n\r\n", deadline.Milliseconds())
	require.NoError(t, err)
	go func() {
		for range 30 {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Less(t, time.Since(begin), deadline+500*time.Millisecond)
	runs, _ := f.runsOf("slow")
	require.Zero(t, runs)
}
