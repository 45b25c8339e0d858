package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// Limits of the node under test and its listeners.
const (
	memoryMiB     = 64
	descriptors   = 500
	fileReserve   = 200
	nodeAddress   = "127.61.7.1"
	portCallers   = 18404
	portRelay     = 18400
	portReady     = 18402
	portLocal     = 18406
	portMetrics   = 18410
	portPeer      = 18411
	maxBodyBytes  = 64 << 20
	largeBytes    = 4 << 20
	answerTimeout = 90 * time.Second
)

// build builds the program, unless AUBURNWINCH_CROWD_PROGRAM names an earlier build to test.
func build(t *testing.T) string {
	t.Helper()
	if program := os.Getenv("AUBURNWINCH_CROWD_PROGRAM"); program != "" {
		return program
	}
	program := filepath.Join(t.TempDir(), "auburnwinch")
	out, err := exec.Command("go", "build", "-o", program, "github.com/auburnwinch/auburnwinch/cmd/auburnwinch").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// node is a node process with its target and the fake store.
type node struct {
	t       *testing.T
	process *procs.Process
}

func startNode(t *testing.T, program string) *node {
	t.Helper()
	store := fake.NewStore(fake.Config{})
	var resources []string
	for _, kind := range []string{"idempotent", "non_idempotent", "download"} {
		resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%[1]s"},"spec":{"host":"shop.example",`+
			`"prefix":"/%[1]s/","kind":"%[1]s","timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"shop","maxAttempts":2}}`, kind))
	}
	store.Put("op", "", "config", fmt.Appendf(nil, `{"version":"r1","resources":[{"resourceType":"services","metadata":{"name":"shop"},"spec":{}},`+
		`{"resourceType":"limits","metadata":{"name":"limits"},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,`+
		`"idleTimeoutMs":15000}},%s]}`, maxBodyBytes, strings.Join(resources, ",")))
	storeServer := httptest.NewServer(store)
	target := httptest.NewServer(http.HandlerFunc(serveTarget))
	settings := filepath.Join(t.TempDir(), "settings.conf")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, "node=node-1\nip=%[1]s\nzone=domain\nregion=region\nservice=shop\n"+
		"listen.outbound=%[1]s:%[2]d\nlisten.inbound=%[1]s:%[3]d\nlisten.readyAddr=%[1]s:%[4]d\nlisten.control=%[1]s:%[5]d\nportRange=%[6]d,%[7]d\n"+
		"platform.address=%[8]s\nlimits.memoryMb=%[9]d\nlimits.maxFds=%[10]d\nbounds=graceS=6,retryBudgetRatio=0.2,budgetExtra=58,budgetWindowS=10\n",
		nodeAddress, portCallers, portRelay, portReady, portLocal, portMetrics, portPeer, storeServer.Listener.Addr(), memoryMiB, descriptors), 0o600))
	t.Setenv("GOMAXPROCS", "1")
	process, err := procs.Launch("node", t.TempDir(), program, "hosted", "--settings", settings)
	require.NoError(t, err)
	n := &node{t: t, process: process}
	stopped := make(chan struct{})
	go n.announce(target.Listener.Addr().String(), stopped)
	t.Cleanup(func() {
		close(stopped)
		_ = process.Kill() // It fails if the process has ended.
		process.Close()
		target.CloseClientConnections()
		target.Close()
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	n.requireAnswer()
	return n
}

// serveTarget runs a request of the target on the VM of the node.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The caller may leave meanwhile.
	w.Header().Set("Auburnwinch-Request-Id", r.Header.Get("Auburnwinch-Request-Id"))
	w.Header().Set("Auburnwinch-Server-Seal", "seal")
	bytes := 2
	if strings.HasPrefix(r.URL.Path, "/download/") {
		bytes = largeBytes
	}
	_, _ = w.Write(make([]byte, bytes)) // The caller may leave meanwhile.
}

// announce sends heartbeats of the target until the test ends.
func (n *node) announce(address string, stopped chan struct{}) {
	born := time.Now().UnixMilli()
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":"shop","address":%q,"zone":"domain","version":"v1","slots":8,"state":"ready","sequence":%d,"born":%d}`,
			address, sequence, born)
		response, err := client.Post("http://"+nodeHost(portLocal)+"/api/instances/i-1/heartbeat", "application/json", strings.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-stopped:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func nodeHost(port int) string { return net.JoinHostPort(nodeAddress, strconv.Itoa(port)) }

// requireAnswer requires that an ordinary caller is served, which comes again after a refusal.
func (n *node) requireAnswer() {
	n.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if !n.process.Running() {
			last = "the process has ended"
			break
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+nodeHost(portCallers)+"/idempotent/one", http.NoBody)
		require.NoError(n.t, err)
		request.Host = "shop.example"
		request.Header.Set("Auburnwinch-Request-Id", strconv.FormatInt(time.Now().UnixNano(), 36))
		request.Header.Set("Auburnwinch-Deadline-Ms", "10000")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if last = response.Status; response.StatusCode == http.StatusOK {
			return
		}
	}
	require.Fail(n.t, "an ordinary caller was not served", last)
}

// requireAlive requires that the node is ready, lives, and has stayed within its limits.
func (n *node) requireAlive(sockets int) {
	n.t.Helper()
	require.True(n.t, n.process.Running(), "the process has ended")
	response, err := (&http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + nodeHost(portReady) + "/api/readiness")
	require.NoError(n.t, err, "readiness")
	require.NoError(n.t, response.Body.Close())
	require.Equal(n.t, http.StatusOK, response.StatusCode, "readiness")
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	require.NoError(n.t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, " kB")
	peak, err := strconv.Atoi(strings.TrimSpace(line))
	require.NoError(n.t, err)
	n.t.Logf("peak of memory %.1f MiB of %d, sockets %d of %d", float64(peak)/1024, memoryMiB, sockets, descriptors-fileReserve)
	require.LessOrEqual(n.t, peak, memoryMiB<<10, "peak of memory in KiB")
	require.LessOrEqual(n.t, sockets, descriptors-fileReserve, "sockets")
}

// sockets returns the number of open sockets of the process.
func (n *node) sockets() int {
	directory := fmt.Sprintf("/proc/%d/fd", n.process.PID())
	entries, _ := os.ReadDir(directory) // It fails if the process has ended.
	count := 0
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && strings.HasPrefix(link, "socket:") {
			count++
		}
	}
	return count
}
