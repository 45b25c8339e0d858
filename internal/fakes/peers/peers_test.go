package peers

import (
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const testSecret = "secret-of-the-test-fleet-0123456789"

func testRecords(network, count int) (records []member.NodeRecord) {
	for i := range count {
		host := fmt.Sprintf("127.%d.1.%d", network, i+1)
		node := model.Node{
			Ref: model.NodeRef{ID: fmt.Sprintf("vm-%02d", i+1), Incarnation: 1}, Domain: "a", Region: "r",
			PeerAddress: host + ":7401", RelayAddress: host + ":7402",
		}
		target := model.Target{Ref: model.TargetRef{Service: "s", ID: node.Ref.ID, Incarnation: 1}, Node: node.Ref, Slots: 1, State: model.TargetServing}
		records = append(records, member.NodeRecord{Node: node, Version: 2, ContentVersion: 2, Ticket: 1, Targets: []model.Target{target}})
	}
	return records
}

// Guards against simulated members that a real node considers dead or whose changes it does not receive; measurements
// with them would show too little work.
func TestRealNodeFollowsMembers(t *testing.T) {
	network, claim, err := procs.ClaimNetwork(140, 149)
	require.NoError(t, err)
	defer func() { _ = claim.Close() }()
	own := fmt.Sprintf("127.%d.255.3:7401", network)
	records := testRecords(network, 12)
	f, err := Start(Config{Real: own, Secret: []byte(testSecret), Records: records, Tickets: []model.Ticket{{Number: 1}}, Seed: 1})
	require.NoError(t, err)
	defer f.Close()
	var behind atomic.Uint64
	p, err := peer.New(peer.Config{
		Self:   model.Node{Ref: model.NodeRef{ID: "vm-00"}, Domain: "a", Region: "r"},
		Listen: own, Secret: []byte(testSecret), Seeds: []string{records[3].Node.PeerAddress},
		OnNewerTicket: func(_ model.Node, number uint64) { behind.Store(number) },
	})
	require.NoError(t, err)
	defer func() { _ = p.Close() }()
	has := func(id string, ok func(*member.NodeRecord) bool) func() bool {
		return func() bool { return ok(p.Snapshot().Record(id)) }
	}
	known := func() (ids []string) {
		for _, r := range p.Snapshot().Records {
			ids = append(ids, r.Node.Ref.ID)
		}
		return ids
	}
	began := time.Now()
	for time.Since(began) < 5*time.Second && len(known()) != 13 {
		time.Sleep(10 * time.Millisecond)
	}
	require.Len(t, known(), 13, "known after %v: %v", time.Since(began), known())
	t.Log("joined after", time.Since(began))
	f.Restart(2, 200*time.Millisecond)
	f.Fail(4)
	f.Accept(model.Ticket{Number: 2})
	require.Eventually(t, has("vm-03", func(r *member.NodeRecord) bool { return r != nil && r.Leaving }), 3*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return behind.Load() == 2 }, 3*time.Second, 10*time.Millisecond)
	require.Eventually(t, has("vm-05", func(r *member.NodeRecord) bool { return r == nil }), 15*time.Second, 10*time.Millisecond)
	require.Eventually(t, has("vm-03", func(r *member.NodeRecord) bool {
		return r != nil && r.Node.Ref.Incarnation > 1 && len(r.Targets) == 1
	}), 15*time.Second, 10*time.Millisecond)
	require.Eventually(t, has("vm-06", func(r *member.NodeRecord) bool { return r.Ticket == 2 }), 15*time.Second, 10*time.Millisecond)
	require.Len(t, p.Snapshot().Records, 12, "only the failed member must be removed")
}

// Guards against simulated responses that an edge would reject as invalid.
func TestRelayResponseIsComplete(t *testing.T) {
	request := httptest.NewRequest("GET", "/", nil)
	request.Header.Set(model.HeaderExchange, "nonce")
	recorder := httptest.NewRecorder()
	serveRelay(recorder, request)
	response := recorder.Result()
	var sum relay.Checksum
	sum.Add(recorder.Body.Bytes())
	require.Equal(t, "nonce", response.Header.Get(model.HeaderExchange))
	require.Equal(t, string(model.OutcomeDone), response.Header.Get(model.HeaderOutcome))
	require.NoError(t, sum.Verify(response.Trailer))
}
