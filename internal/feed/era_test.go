package feed_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// eraBound is the time within which all nodes of a failure domain hear of an era: a backoff of a reader, a long poll and a
// backoff of a follower.
const eraBound = 15 * time.Second

func recordIn(era, incarnation uint64, id string, withdrawn ...model.TargetRef) []byte {
	r := roster.Record{
		Node:      model.Node{Ref: model.NodeRef{ID: id, Incarnation: incarnation}, Domain: "a", RelayAddress: "10.0.0.1:1"},
		Withdrawn: withdrawn, Era: era,
	}
	return r.Encode()
}

// Pattern: the store comes back from a copy, and versions go back. Guards against nodes that take later rows for old ones,
// whether they read the store or another node, and against losing what only the nodes remember.
func TestRowsOfANewEraReachAllNodes(t *testing.T) {
	f := newFleet(t, 4)
	f.store.Put("nodes", "b", "k", []byte("1"))
	f.waitForValue("k", "1", eraBound)
	f.waitForReaders()
	lost := f.store.Copy()
	for _, value := range []string{"2", "3", "4"} {
		f.store.Put("nodes", "b", "k", []byte(value))
	}
	left := model.TargetRef{Service: "s", ID: "t", Incarnation: 7}
	f.store.Put("nodes", "a", "gone", recordIn(0, 1, "gone", left))
	f.waitForValue("k", "4", eraBound)
	f.waitForValue("gone", string(recordIn(0, 1, "gone", left)), eraBound)
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	f.store.EndWatches()
	f.store.ComeBack(lost)
	f.store.SetFault(nil)
	f.waitForValue("k", "1", eraBound)
	f.store.Put("nodes", "b", "k", []byte("5"))
	f.waitForValue("k", "5", eraBound)

	// Another process under the name knows nothing of the departure; the others tell a node that starts.
	f.store.Put("nodes", "a", "gone", recordIn(1, 2, "gone"))
	f.waitForValue("gone", string(recordIn(1, 2, "gone")), eraBound)
	f.add("late")
	late := f.nodes[len(f.nodes)-1]
	require.Eventually(t, func() bool { return late.recalled("gone") }, eraBound, 10*time.Millisecond)
}
