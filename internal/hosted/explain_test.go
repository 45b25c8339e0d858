package hosted_test

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/story"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// explain returns the story of a request from the logs of all nodes.
func (f *fleet) explain(id string) string {
	f.t.Helper()
	var logs strings.Builder
	for _, n := range f.nodes {
		logs.WriteString(n.log.String())
	}
	lines, unreadable, err := story.Read(strings.NewReader(logs.String()))
	require.NoError(f.t, err)
	require.Zero(f.t, unreadable)
	s := story.Collect(id, lines)
	require.True(f.t, s.Found(), "no line names %s", id)
	var b strings.Builder
	require.NoError(f.t, s.Write(&b))
	f.t.Log(b.String())
	return b.String()
}

// Guards against a request that was refused for want of room and can't be traced to the target that was full.
func TestExplainWantOfRoom(t *testing.T) {
	f, caller := withCaller(t, 1)
	f.nodes[0].fill(caller)
	a := caller.callAs("no-room", http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	// The edge may answer at its deadline a moment before the agent has written its line.
	require.Eventually(t, func() bool { return strings.Contains(f.explain("no-room"), "load 3/3") }, 2*time.Second, 10*time.Millisecond)
	told := f.explain("no-room")
	require.Regexp(t, "asked node-0 for target i-node-0: (no-slot|deadline)", told)
	require.Contains(t, told, "load 3/3")
	require.Contains(t, told, "node-1 answered 503 (not-run)")
}

// Guards against an unknown outcome that can't be traced to the target that broke off.
func TestExplainBrokenOff(t *testing.T) {
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

// Guards against a refusal during an outage of the store that can't be traced to what the node knew, and how old it was.
func TestExplainOutageOfTheStore(t *testing.T) {
	f, caller := withCaller(t, 1)
	gone := f.nodes[0]
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	f.store.Put("other", "", "row", nil) // Ends the calls that wait for changes.
	require.Eventually(t, func() bool { return strings.Contains(caller.log.String(), "store lost") }, 5*time.Second, 10*time.Millisecond)
	gone.target.heartbeat("draining")
	a := caller.callAs("outage", http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	told := f.explain("outage")
	require.Contains(t, told, "asked node-0 for target i-node-0: draining")
	require.Regexp(t, `configuration 1, members \S+ old, because`, told)
}

// Guards against log lines that the operators' page does not describe.
func TestLogLinesAreDescribed(t *testing.T) {
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
		require.True(t, known, "the page does not describe %q", msg[1])
		for _, field := range regexp.MustCompile(`[{,]"([a-z-]+)":`).FindAllStringSubmatch(regexp.MustCompile(`\[\{.*\}\]`).ReplaceAllString(line, "[]"), -1) {
			require.Contains(t, append(fields, common...), field[1], line)
		}
	}
}
