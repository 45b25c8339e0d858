package hosted_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/internal/hosted"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// fleet is a fake store with nodes and their targets on loopback addresses.
type fleet struct {
	t       *testing.T
	store   *fake.Store
	address string
	nodes   []*testNode
	ids     int
	// bodyLimit is the body limit in the configurations; zero omits it.
	bodyLimit int
	// accounts holds the entries for client accounts in the configurations.
	accounts []string
	// revocation is a setting of the nodes.
	revocation access.Revocation
	// peers holds the nodes by the addresses of their peer listeners.
	peers sync.Map
}

// testNode is one node with its local target.
type testNode struct {
	fleet     *fleet
	id        string
	service   string
	listeners hosted.Listeners
	target    *target
	log       *logBuffer
	node      *hosted.Node
	stop      context.CancelFunc
	done      chan struct{}
	store     storeLink
	// frozen is true while other nodes get no responses from the peer listener of this one.
	frozen atomic.Bool
}

// storeLink is the path from one node to the store.
type storeLink struct {
	mu    sync.Mutex
	cut   bool
	conns []net.Conn
	// silent is true while no response of the store arrives.
	silent atomic.Bool
}

// setCut cuts the path or restores it.
func (l *storeLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, conn := range l.conns {
		_ = conn.Close() // It may already be closed.
	}
	l.conns = nil
}

func (l *storeLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := hosted.Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn = &silentConn{Conn: conn, silent: &l.silent}
	l.conns = append(l.conns, conn)
	return conn, nil
}

// dial connects to another node.
func (f *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := hosted.Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if n, found := f.peers.Load(address); found {
		return &silentConn{Conn: conn, silent: &n.(*testNode).frozen}, nil
	}
	return conn, nil
}

// target is a fake application instance.
type target struct {
	node   *testNode
	id     string
	born   int64
	slots  int
	server *httptest.Server

	mu     sync.Mutex
	behave func(w http.ResponseWriter, r *http.Request) bool
	runs   map[string]int
	// received holds the checksums of the bodies received completely, by request id.
	received map[string][sha256.Size]byte
	sequence int
}

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends a line.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns all lines.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// contains reports whether one line holds all the parts.
func (l *logBuffer) contains(parts ...string) bool {
	for line := range strings.Lines(l.String()) {
		missing := func(part string) bool { return !strings.Contains(line, part) }
		if !slices.ContainsFunc(parts, missing) {
			return true
		}
	}
	return false
}

// logOf returns the log lines of all nodes that mention the request.
func (f *fleet) logOf(id string) string {
	var about []string
	for _, n := range f.nodes {
		for line := range strings.Lines(n.log.String()) {
			if strings.Contains(line, id) {
				about = append(about, line)
			}
		}
	}
	return strings.Join(about, "")
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: fake.NewStore(fake.Config{})}
	server := httptest.NewServer(f.store)
	f.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		var group sync.WaitGroup
		for _, n := range f.nodes {
			group.Go(n.close)
		}
		group.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// configure writes a configuration with an idempotent route and several non-idempotent routes for each service.
func (f *fleet) configure(number int, services ...string) {
	var resources []string
	for _, s := range services {
		for kind, prefix := range map[string]string{"idempotent": "read", "non_idempotent": "order", "upload": "upload"} {
			resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s-%s"},"spec":{"host":"%s.example",`+
				`"prefix":"/%s/","kind":"%s","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"%s","maxAttempts":2}}`,
				s, prefix, s, prefix, kind, s))
		}
		resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s-long"},"spec":{"host":"%s.example",`+
			`"prefix":"/long/","kind":"non_idempotent","timeoutMs":20000,"targetLatencyMs":9000,"priority":1,"service":"%s","maxAttempts":2}}`, s, s, s))
		resources = append(resources, fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"spec":{}}`, s))
	}
	resources = append(resources, f.accounts...)
	if f.bodyLimit > 0 {
		resources = append(resources, fmt.Sprintf(`{"resourceType":"limits","metadata":{},"spec":{"maxBodyBytes":%d}}`, f.bodyLimit))
	}
	f.store.Put("op", "", "config", fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, number, strings.Join(resources, ",")))
}

// freeAddress returns a free address of the loopback network other than 127.0.0.1, from which connections of other processes
// come: one of them could take the port while a node is stopped.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// add starts a node with a ready target of the service in the failure domain.
func (f *fleet) add(service, domain string) *testNode {
	f.t.Helper()
	n := &testNode{fleet: f, id: fmt.Sprintf("node-%d", len(f.nodes)), service: service, log: &logBuffer{}}
	n.target = newTarget(n, "i-"+n.id)
	f.nodes = append(f.nodes, n)
	// Another process may bind a free address before the node does.
	err := error(syscall.EADDRINUSE)
	for range 5 {
		if errors.Is(err, syscall.EADDRINUSE) {
			n.listeners = freeListeners(f.t)
			err = n.start(domain)
		}
	}
	require.NoError(f.t, err)
	n.target.heartbeat("ready")
	return n
}

func freeListeners(t *testing.T) hosted.Listeners {
	t.Helper()
	return hosted.Listeners{
		Callers: freeAddress(t), Relay: freeAddress(t), Local: freeAddress(t), Ready: freeAddress(t), Metrics: freeAddress(t),
		Peer: freeAddress(t),
	}
}

func (n *testNode) start(domain string) error {
	store := platform.NewStore(platform.StoreConfig{Address: n.fleet.address, Dial: n.store.dial})
	node, err := hosted.New(hosted.Config{
		Self: model.Node{
			Ref: model.NodeRef{ID: n.id, Incarnation: uint64(time.Now().UnixMicro())}, Domain: domain, Region: "region",
			RelayAddress: n.listeners.Relay, CallerAddress: n.listeners.Callers,
		},
		Listeners: n.listeners, Nodes: store.Table("nodes"), Configurations: store.UnpartitionedTable(platform.OperatorTable),
		Decode: platform.DecodeConfiguration, CallerProtocol: platform.CallerProtocol{Service: n.service}, TargetProtocol: platform.TargetProtocol{},
		LocalHandler: func(h hosted.HeartbeatReceiver) http.Handler { return platform.Heartbeats(h) }, ReadyHandler: platform.Readiness,
		Revocation: n.fleet.revocation, Dial: n.fleet.dial,
		Grace: 6 * time.Second, RetryBudget: hosted.RetryBudget{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}, // A new agent may use only a small part of Extra.
		Logger: log.With(log.NewJSONLogger(n.log), "ts", log.DefaultTimestampUTC, "node", n.id),
	})
	if err != nil {
		return err
	}
	n.fleet.peers.Store(n.listeners.Peer, n)
	ctx, stop := context.WithCancel(context.Background())
	n.node, n.stop, n.done = node, stop, make(chan struct{})
	go func() {
		defer close(n.done)
		_ = node.Run(ctx)
	}()
	return nil
}

// restart stops the node and starts it again while its target keeps running.
func (n *testNode) restart(domain string) {
	n.fleet.t.Helper()
	n.stop()
	<-n.done
	require.NoError(n.fleet.t, n.start(domain))
	require.Eventually(n.fleet.t, n.ready, 5*time.Second, 10*time.Millisecond)
}

// restartUnready restarts the node without waiting until it is ready, which it is not while the store is away.
func (n *testNode) restartUnready(domain string) {
	n.fleet.t.Helper()
	n.stop()
	<-n.done
	require.NoError(n.fleet.t, n.start(domain))
	n.target.heartbeat("ready")
}

func (n *testNode) close() {
	if n.stop != nil { // It is nil if the node could not be started, which has failed the test.
		n.stop()
		<-n.done
	}
	n.target.server.CloseClientConnections()
	n.target.server.Close()
}

func newTarget(n *testNode, id string) *target {
	g := &target{node: n, id: id, born: time.Now().UnixMilli(), slots: 3, runs: make(map[string]int)}
	g.server = httptest.NewServer(g)
	return g
}

// ServeHTTP handles a request unless the behavior set by the test answers it.
func (g *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Auburnwinch-Expect-Instance"); expected != g.id {
		w.Header().Set("Auburnwinch-Request-Id", r.Header.Get("Auburnwinch-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Auburnwinch-Request-Id")
	g.mu.Lock()
	behave := g.behave
	g.runs[id]++
	g.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err == nil {
		g.mu.Lock()
		if g.received == nil {
			g.received = make(map[string][sha256.Size]byte)
		}
		g.received[id] = sha256.Sum256(body)
		g.mu.Unlock()
	}
	w.Header().Set("Auburnwinch-Request-Id", id)
	if behave != nil && behave(w, r) {
		return
	}
	w.Header().Set("Auburnwinch-Server-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(w, "%s %s %s from %s", r.Method, r.RequestURI, body, r.Header.Get("Auburnwinch-Caller-Service"))
}

func (g *target) set(behave func(w http.ResponseWriter, r *http.Request) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behave = behave
}

func (g *target) ran(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id]
}

func (g *target) total() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, n := range g.runs {
		total += n
	}
	return total
}

// heartbeat reports the state of the target to the node and retries until the node accepts it.
func (g *target) heartbeat(state string) {
	g.node.fleet.t.Helper()
	require.Eventually(g.node.fleet.t, func() bool { return g.sendHeartbeat(state) }, 5*time.Second, 10*time.Millisecond)
}

// sendHeartbeat sends one heartbeat and reports whether the node accepted it.
func (g *target) sendHeartbeat(state string) bool {
	g.mu.Lock()
	g.sequence++
	body, err := json.Marshal(map[string]any{
		"service": g.node.service, "address": strings.TrimPrefix(g.server.URL, "http://"), "zone": "z", "version": "v1", "slots": g.slots,
		"state": state, "sequence": g.sequence, "born": g.born,
	})
	g.mu.Unlock()
	if err != nil {
		return false
	}
	response, err := http.Post("http://"+g.node.listeners.Local+"/api/instances/"+g.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// keepAlive sends a heartbeat every 1.5 s until the test ends; the node removes a target after 6 s without heartbeats.
func (g *target) keepAlive() {
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		beats := time.NewTicker(1500 * time.Millisecond)
		defer beats.Stop()
		for {
			select {
			case <-ended:
				return
			case <-beats.C:
				g.sendHeartbeat("ready")
			}
		}
	})
	g.node.fleet.t.Cleanup(func() {
		close(ended)
		group.Wait()
	})
}

// withdraw deregisters the target from the node.
func (g *target) withdraw() {
	g.node.fleet.t.Helper()
	require.True(g.node.fleet.t, g.deregister())
}

// deregister deregisters the target once and reports whether the node acknowledged it.
func (g *target) deregister() bool {
	response, err := http.Post("http://"+g.node.listeners.Local+"/api/instances/"+g.id+"/deregister", "application/json", nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is the response that a caller received.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
}

// call sends a request through the node under a new id.
func (n *testNode) call(method, service, path string) answer {
	n.fleet.ids++
	return n.callAs(fmt.Sprintf("request-%d", n.fleet.ids), method, service, path)
}

func (n *testNode) callAs(id, method, service, path string) answer {
	body := ""
	if method == http.MethodPost {
		body = "order " + id
	}
	return n.send(id, method, service, path, body)
}

// send sends a request with the given id and body through the node.
func (n *testNode) send(id, method, service, path, body string) answer {
	r, err := http.NewRequest(method, "http://"+n.listeners.Callers+path, strings.NewReader(body))
	require.NoError(n.fleet.t, err)
	r.Host = service + ".example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	if r.Header.Set("Auburnwinch-Deadline-Ms", "3000"); strings.HasPrefix(path, "/long/") {
		r.Header.Set("Auburnwinch-Deadline-Ms", "20000")
	}
	r.Header.Set("Auburnwinch-Caller-Service", "forged")
	begin := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{id: id, err: err, took: time.Since(begin)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answer{id: id, status: response.StatusCode, body: string(content), header: response.Header, err: err, took: time.Since(begin)}
}

func (n *testNode) ready() bool {
	response, err := http.Get("http://" + n.listeners.Ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until the node serves the path.
func (n *testNode) await(service, path string) {
	n.fleet.t.Helper()
	require.Eventually(n.fleet.t, func() bool { return n.call(http.MethodGet, service, path).status == http.StatusOK }, 5*time.Second, 20*time.Millisecond)
}

// withCaller returns a fleet with targets of kassa in one failure domain, and a node without such a target as the
// source of requests. All targets have served a request.
func withCaller(t *testing.T, targets int) (f *fleet, caller *testNode) {
	t.Helper()
	f = newFleet(t)
	f.configure(1, "kassa", "vitrine")
	for range targets {
		f.add("kassa", "a")
	}
	caller = f.add("vitrine", "a")
	require.Eventually(t, func() bool {
		caller.call(http.MethodGet, "kassa", "/read/x")
		for _, n := range f.nodes[:targets] {
			if n.target.total() == 0 {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
	return f, caller
}

// fill occupies all slots of the node's target until the test ends.
func (n *testNode) fill(from *testNode) {
	n.fleet.t.Helper()
	release := make(chan struct{})
	n.fleet.t.Cleanup(func() { close(release) })
	n.target.set(func(http.ResponseWriter, *http.Request) bool { <-release; return false })
	ids := []string{"busy-1", "busy-2", "busy-3"}
	for _, id := range ids {
		go from.callAs(id, http.MethodPost, "kassa", "/long/1")
	}
	require.Eventually(n.fleet.t, func() bool {
		running := 0
		for _, id := range ids {
			running += n.target.ran(id)
		}
		return running == len(ids)
	}, 2*time.Second, time.Millisecond)
}
