package hosted_test

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/trace"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// explain returns the explanation of a request from the logs of all nodes.
func (f *fleet) explain(id string) string {
	f.t.Helper()
	var logs strings.Builder
	for _, n := range f.nodes {
		logs.WriteString(n.log.String())
	}
	lines, unreadable, err := trace.Read(strings.NewReader(logs.String()))
	require.NoError(f.t, err)
	require.Zero(f.t, unreadable)
	s := trace.Collect(id, lines)
	require.True(f.t, s.Found(), "no log line contains %s", id)
	var b strings.Builder
	require.NoError(f.t, s.Write(&b))
	f.t.Log(b.String())
	return b.String()
}

// Guards against a request that was refused because no slot was free and cannot be traced to the full target.
func TestExplainNoFreeSlot(t *testing.T) {
	f, caller := withCaller(t, 1)
	f.nodes[0].fill(caller)
	a := caller.callAs("no-room", http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	// The edge may answer at its deadline shortly before the agent has written its log line.
	require.Eventually(t, func() bool { return strings.Contains(f.explain("no-room"), "load 3/3") }, 2*time.Second, 10*time.Millisecond)
	told := f.explain("no-room")
	require.Regexp(t, "asked node-0 for target i-node-0: (no-slot|deadline)", told)
	require.Contains(t, told, "load 3/3")
	require.Contains(t, told, "node-1 answered 503 (not-run)")
}

// Guards against an unknown outcome that cannot be traced to the target that closed the connection.
func TestExplainBrokenConnection(t *testing.T) {
	f, caller := withCaller(t, 1)
	broken := f.nodes[0]
	broken.target.set(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	a := caller.callAs("broken-off", http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusBadGateway, a.status)
	told := f.explain("broken-off")
	require.Contains(t, told, "node-0, target i-node-0: unknown")
	require.Contains(t, told, "because target-broken")
	require.Contains(t, broken.log.String(), `"msg":"target broke off"`)
}

// Guards against a refusal during a store outage whose explanation does not show the node's configuration and the age
// of its member records.
func TestExplainStoreOutage(t *testing.T) {
	f, caller := withCaller(t, 1)
	gone := f.nodes[0]
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	f.store.EndWatches()
	require.Eventually(t, func() bool { return strings.Contains(caller.log.String(), "store lost") }, 5*time.Second, 10*time.Millisecond)
	require.False(t, gone.target.sendHeartbeat("draining"), "the store does not hold it, but the node knows")
	a := caller.callAs("outage", http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	told := f.explain("outage")
	require.Contains(t, told, "asked node-0 for target i-node-0: draining")
	require.Regexp(t, `configuration 1, members \S+ old, because`, told)
}

// Guards against log messages and fields that docs/OPERATIONS.md does not document.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	described := make(map[string][]string)
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\|").FindAllStringSubmatch(string(page), -1) {
		described[row[1]] = strings.Split(strings.ReplaceAll(row[2], " ", ""), ",")
	}
	f := newFleet(t)
	f.configure(1, "kassa", "vitrine")
	n := f.add("kassa", "a")
	caller := f.add("vitrine", "a")
	caller.await("kassa", "/read/x")
	n.target.set(func(w http.ResponseWriter, _ *http.Request) bool { panic(http.ErrAbortHandler) })
	caller.call(http.MethodGet, "kassa", "/read/x")
	caller.call(http.MethodGet, "kassa", "/none/x")
	f.store.Put("op", "", "config", []byte("garbage"))
	f.store.Put("nodes", "a", "foreign", []byte("garbage"))
	f.store.DropHistory()
	n.target.heartbeat("draining")
	n.node.LogReload("signal", nil, []string{"zone"})
	n.stop()
	<-n.done
	time.Sleep(time.Second)
	common := []string{"msg", "node", "ts", "level"}
	for _, line := range strings.Split(strings.TrimSpace(n.log.String()+caller.log.String()), "\n") {
		msg := regexp.MustCompile(`"msg":"([^"]*)"`).FindStringSubmatch(line)
		require.NotNil(t, msg, line)
		fields, known := described[msg[1]]
		require.True(t, known, "docs/OPERATIONS.md does not document %q", msg[1])
		for _, field := range regexp.MustCompile(`[{,]"([a-z-]+)":`).FindAllStringSubmatch(regexp.MustCompile(`\[\{.*\}\]`).ReplaceAllString(line, "[]"), -1) {
			require.Contains(t, append(fields, common...), field[1], line)
		}
	}
}
