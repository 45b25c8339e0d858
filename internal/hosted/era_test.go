package hosted_test

import (
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// rewriteBound is the time within which the rows are whole again after the store came back: a node hears of it within the
// backoff of a reader and a long poll, and writes its row within three seconds.
const rewriteBound = 10 * time.Second

// recallBound is the time within which a node that starts knows what the others remember: it asks them four times, after
// long polls of at most five seconds.
const recallBound = 20 * time.Second

// comeBack makes the store go away for a second and come back from the copy.
func (f *fleet) comeBack(c fake.Copy) {
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	f.store.EndWatches()
	time.Sleep(time.Second)
	f.store.ComeBack(c)
	f.store.SetFault(nil)
}

// loseLeaving lets the target of the node leave and kills the node. The store then comes back from a copy that lacks the leaving,
// of which all other nodes have heard.
func (n *testNode) loseLeaving() {
	f := n.fleet
	f.t.Helper()
	lost := f.store.Copy()
	require.True(f.t, n.target.deregister())
	version := f.store.Get("nodes", "a", n.id).Version
	for _, other := range f.nodes {
		require.Eventually(f.t, func() bool { return other == n || other.membersVersion() >= version }, rewriteBound, 10*time.Millisecond)
	}
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	f.store.EndWatches()
	n.stop()
	<-n.done
	f.store.ComeBack(lost)
	f.store.SetFault(nil)
}

// membersVersion returns the version of the latest rows that the node has applied; changes that follow each other closely arrive
// together with the version of the last one.
func (n *testNode) membersVersion() uint64 {
	n.fleet.t.Helper()
	all := regexp.MustCompile(`"msg":"members changed".*"version":(\d+),`).FindAllStringSubmatch(n.log.String(), -1)
	if len(all) == 0 {
		return 0
	}
	version, err := strconv.ParseUint(all[len(all)-1][1], 10, 64)
	require.NoError(n.fleet.t, err)
	return version
}

// Pattern: the store comes back from a copy that lacks a node, the leaving of a target and a configuration. Guards against
// forgetting what the nodes know, and against rows and configurations that are dropped because their versions went back.
func TestStoreThatComesBackFromACopy(t *testing.T) {
	t.Parallel() // It waits most of the time.
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	leaving := f.nodes[0]
	lost := f.store.Copy()
	f.configure(2, "kassa", "vitrine", "archief")
	late := f.add("archief", "a")
	late.target.keepAlive()
	caller.await("archief", "/read/x")
	require.True(t, leaving.target.deregister())
	writes := f.store.Calls("rows-tx")
	f.comeBack(lost)

	for end := time.Now().Add(rewriteBound); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := caller.call(http.MethodGet, "archief", "/read/x")
		require.Equal(t, http.StatusOK, a.status, "a node that the copy lacks still serves\n%s", f.logOf(a.id))
	}
	leaving.requireUnused(caller)
	require.Contains(t, leaving.storedRecord().Withdrawn, leaving.target.ref())
	require.NotZero(t, f.store.Get("nodes", "a", late.id).Version)
	// Each node with a target writes its row once; one write more may meet the old condition.
	require.LessOrEqual(t, f.store.Calls("rows-tx")-writes, 2*len(f.nodes))
	require.True(t, caller.log.contains(`"era":1`, "store came back from a copy"))

	// Versions and numbers are given out again.
	f.configure(2, "kassa", "vitrine", "archief")
	f.configure(3, "kassa", "vitrine")
	require.Eventually(t, func() bool {
		return caller.call(http.MethodGet, "archief", "/read/x").status == http.StatusNotFound
	}, rewriteBound, 20*time.Millisecond, "a later configuration with a version that was given out before")
}

// Pattern: a target leaves, the store comes back from a copy that lacks this, and its node is killed before it has written its
// row again. Guards against a new process that uses the target, whatever node it reads the rows from.
func TestLostLeavingSurvivesRestart(t *testing.T) {
	t.Parallel() // It waits most of the time.
	for name, index := range map[string]int{"first": 0, "second": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, caller := withCaller(t, 3)
			for i, n := range f.nodes[:3] {
				if i != index {
					n.target.keepAlive()
				}
			}
			n := f.nodes[index]
			n.loseLeaving()
			require.NoError(t, n.start("a"))
			require.Eventually(t, n.ready, 5*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool { return n.log.contains("lost record restored") }, recallBound, 10*time.Millisecond)
			n.requireUnused(caller)
			require.Eventually(t, func() bool { return len(n.storedRecord().Withdrawn) > 0 }, rewriteBound, 20*time.Millisecond)
		})
	}
}

// Pattern: a target leaves, the store comes back from a copy that lacks this, and all nodes of its failure domain start again
// meanwhile. Guards against a process that asks only nodes which have forgotten it too (DRAIN).
func TestLostLeavingSurvivesRestartOfItsDomain(t *testing.T) {
	t.Parallel() // It waits most of the time.
	f := newFleet(t)
	f.configure(1, "kassa", "vitrine")
	n := f.add("kassa", "a")
	f.add("kassa", "b").target.keepAlive()
	caller := f.add("vitrine", "b")
	caller.await("kassa", "/read/x")
	n.loseLeaving()
	require.NoError(t, n.start("a"))
	require.Eventually(t, func() bool { return n.log.contains("lost record restored") }, recallBound, 10*time.Millisecond)
	n.requireUnused(caller)
}

// Pattern: the store comes back while a write that it was sent before is still under way, and applies it afterwards because
// its version was given out again. Guards against a row that keeps the older value.
func TestLateWriteOfAnEarlierEra(t *testing.T) {
	t.Parallel() // It waits most of the time.
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	n := f.nodes[0]
	lost := f.store.Copy()
	f.failWrites(fake.Fault{ApplyAfter: 1500 * time.Millisecond})
	n.target.sendHeartbeat("draining") // It is not acknowledged.
	f.comeBack(lost)
	require.Eventually(t, func() bool { return n.target.sendHeartbeat("draining") }, rewriteBound, 100*time.Millisecond)
	time.Sleep(2 * time.Second) // The late writes take effect.
	require.Eventually(t, func() bool {
		r := n.storedRecord()
		return len(r.Draining()) == 1 && r.Era == 1
	}, rewriteBound, 20*time.Millisecond)
	n.requireUnused(caller)
}
