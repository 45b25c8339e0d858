package once

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against messages that net/rpc can't encode.
func TestKeysOverNetRPC(t *testing.T) {
	f := newFleet()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	d := a.owner.Begin(t.Context(), KeyRequest{Key: a.owner.Token() + ".one", Fingerprint: 7})
	attempt, ok := a.owner.StartAttempt(d.Key, model.TargetRef{}, a.self)
	require.True(t, ok)
	require.True(t, a.ledger.Admit(attempt))
	a.ledger.Finish(attempt, &StoredResponse{Status: 201, Header: http.Header{"X": {"y"}}, Body: []byte("paid")})

	server := rpc.NewServer()
	require.NoError(t, server.RegisterName(ServiceName, a.keys))
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	defer func() { _ = client.Close() }()
	fence := FenceReply{}
	require.NoError(t, client.Call(methodFence, FenceArgs{Agent: a.self.Ref, Key: d.Key, Fingerprint: 7}, &fence))
	require.Equal(t, FenceDone, fence.State)
	require.Equal(t, "y", fence.Answer.Header.Get("X"))
	lookup := FenceReply{}
	require.NoError(t, client.Call(methodLookup, LookupArgs{Key: d.Key, Fingerprint: 8}, &lookup))
	require.Equal(t, FenceMismatch, lookup.State)
	require.Nil(t, lookup.Answer, "another request must not get the response")
	resolve := ResolveReply{}
	args := ResolveArgs{Holder: a.self.Ref, Requester: b.self.Ref, Key: d.Key, Fingerprint: 7}
	require.NoError(t, client.Call(methodResolve, args, &resolve))
	require.Equal(t, KindInProgress, resolve.Kind)
	transfer := Transfer{
		Domains: []TransferDomain{{Owner: b.self.Ref, Epoch: 1}},
		Records: []TransferRecord{{Owner: b.self.Ref, Epoch: 1, Phase: uint8(phaseDone), Node: a.self}},
	}
	handover := HandoverReply{}
	require.NoError(t, client.Call(methodHandover, HandoverArgs{Successor: a.self.Ref, Transfer: transfer}, &handover))
	require.True(t, handover.Accepted)
	require.Error(t, client.Call(methodHandover, HandoverArgs{Successor: b.self.Ref}, &handover))
}

// Guards against a restarted node that treats keys of its earlier incarnation as its own.
func TestRestartedOwnerUsesLookupsOnly(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	ran, unseen := KeyRequest{Key: a.owner.Token() + ".ran"}, KeyRequest{Key: a.owner.Token() + ".unseen"}
	a.run(t, a.owner.Begin(ctx, ran).Key, b, "paid")
	f.unreachable[a.self.Ref] = true
	restarted := f.start(t, "a", 2)
	d := restarted.owner.Begin(ctx, ran)
	require.Equal(t, KindReplay, d.Kind, d.Reason)
	require.Equal(t, "paid", string(d.Response.Body))
	d = restarted.owner.Begin(ctx, unseen)
	require.Equal(t, KindUnknown, d.Kind, "another agent may have run it")
	require.Equal(t, ReasonOwnerUnreachable, d.Reason)
	require.NotZero(t, d.RetryAfter)
}

// Guards against keys that are lost or run twice at a graceful shutdown.
func TestHandover(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b, c := f.start(t, "a", 1), f.start(t, "b", 1), f.start(t, "c", 1)
	ran, unseen := KeyRequest{Key: a.owner.Token() + ".ran"}, KeyRequest{Key: a.owner.Token() + ".unseen"}
	a.run(t, a.owner.Begin(ctx, ran).Key, c, "paid")
	require.NoError(t, a.owner.Handover(ctx, b.self))
	require.NoError(t, a.owner.Handover(ctx, b.self), "retried handover")
	require.Equal(t, KindUnknown, a.owner.Begin(ctx, unseen).Kind, "the node no longer owns its keys")
	f.successors[a.self.Ref] = b.self.Ref
	for range 2 {
		require.Equal(t, KindReplay, c.owner.Begin(ctx, ran).Kind)
		f.unreachable[a.self.Ref] = true
	}
	require.Equal(t, KindRun, c.owner.Begin(ctx, unseen).Kind)
	require.Equal(t, KindInProgress, b.owner.Begin(ctx, unseen).Kind)
}

// Guards against an owner or agent that takes a key for a new one after it dropped the epoch of the key.
func TestDroppedEpochIsRefused(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	req := KeyRequest{Key: a.owner.Token() + ".one"}
	d := a.owner.Begin(ctx, req)
	late, ok := a.owner.StartAttempt(d.Key, model.TargetRef{}, b.self)
	require.True(t, ok)
	require.Equal(t, KindRun, a.owner.ResolveAttempt(ctx, d.Key).Kind)
	now := f.clock.Now().Add(defaultRetention + time.Second)
	a.owner.tick(now)
	b.ledger.expire(now)
	require.False(t, b.ledger.Admit(late))
	d = a.owner.Begin(ctx, req)
	require.Equal(t, KindUnknown, d.Kind)
	require.Equal(t, ReasonEpochDropped, d.Reason)
	require.Equal(t, KindUnknown, b.owner.Begin(ctx, req).Kind)
}

// Guards against not-run for an unusable key that may have run: one that the edge generated, or one whose row was
// written by another version.
func TestUnusableKeys(t *testing.T) {
	f := newFleet()
	a := f.start(t, "a", 1)
	generated := a.owner.Begin(t.Context(), KeyRequest{})
	require.Equal(t, KindRun, generated.Kind)
	require.Equal(t, KindUnknown, a.owner.Begin(t.Context(), KeyRequest{Key: generated.Key}).Kind)
	require.Equal(t, KindNotRun, a.owner.Begin(t.Context(), KeyRequest{Key: "aw1.a.1"}).Kind)
	f.rows[plainRow("", "plain")] = "aw2.from.the.future"
	require.Equal(t, KindUnknown, a.owner.Begin(t.Context(), KeyRequest{Key: "plain"}).Kind)
}

// Guards against a token of an epoch that the owner does not know yet, and against epochs and tokens that never end.
func TestEpochs(t *testing.T) {
	f := newFleet()
	a := f.start(t, "a", 1)
	first := a.owner.Token()
	a.owner.tick(f.clock.Now().Add(epochInterval))
	require.NotEqual(t, first, a.owner.Token())
	require.Equal(t, KindRun, a.owner.Begin(t.Context(), KeyRequest{Key: a.owner.Token() + ".x"}).Kind)
	d := a.owner.Begin(t.Context(), KeyRequest{Key: FormatToken(a.self.Ref, 99) + ".x"})
	require.Equal(t, ReasonEpochNotIssued, d.Reason)
	for minutes := range 7 {
		d = a.owner.Begin(t.Context(), KeyRequest{Key: fmt.Sprint(first, ".age-", minutes)})
		if minutes < 6 {
			require.Equal(t, KindRun, d.Kind, "minute %d", minutes)
		}
		a.owner.tick(f.clock.Now().Add(time.Duration(minutes+2) * epochInterval))
	}
	require.Equal(t, KindNotRun, d.Kind, "an old token would prevent records from expiring")
	require.Equal(t, ReasonTokenExpired, d.Reason)
	require.Equal(t, KindInProgress, a.owner.Begin(t.Context(), KeyRequest{Key: first + ".age-0"}).Kind, "a known key is not rejected")
}

// Guards against unbounded numbers of records, responses and floors; internal/invar panics in tests.
func TestMemoryIsBounded(t *testing.T) {
	m := newLedgerModule(ledgerConfig{
		Self: model.NodeRef{ID: "a", Incarnation: 1}, MaxRecords: 100, MaxFloors: 5, MaxResponseBytes: 50, MaxTotalResponseBytes: 500,
	})
	for i := range uint64(2000) {
		id := attemptID{Agent: 1, Key: keyID{
			Owner: model.NodeRef{ID: fmt.Sprint(i % 40), Incarnation: 1 + i/40}, Epoch: i, Digest: digest{byte(i), byte(i >> 8)},
		}}
		now := testTime.Add(time.Duration(i) * time.Second)
		if m.Update(AdmitMsg{Now: now, ID: id}) != nil {
			m.Update(CompleteMsg{Now: now, ID: id, Response: &StoredResponse{Body: make([]byte, i%60)}})
		}
		require.Nil(t, m.Update(AdmitMsg{Now: now, ID: id}), "admitted twice")
	}
	require.LessOrEqual(t, m.records.count, 100)
	require.LessOrEqual(t, len(m.records.floors), 5)
	require.LessOrEqual(t, m.responseBytes, 500)
	require.NotZero(t, m.records.minIncarnation)
}

// Guards against two valid encodings of one key, which would get two records.
func TestKeysHaveOneEncoding(t *testing.T) {
	for _, key := range []string{
		"aw1.n.01.1.x", "aw1.n.1.+1.x", "aw1.n.1.1.", "aw1.n.1.1", "aw1..1.1.x", "aw1.%6e.1.1.x", "aw1.a%2eb.1.1.x", "aw1.n.1.1.x~y", "aw1.n.1.1.x y", "aw1.%E.1.1.x",
	} {
		_, err := parseKey(key)
		require.ErrorIs(t, err, ErrKey, key)
	}
	rapid.Check(t, func(rt *rapid.T) {
		ref := model.NodeRef{ID: rapid.StringN(1, 20, 60).Draw(rt, "id"), Incarnation: rapid.Uint64().Draw(rt, "incarnation")}
		epoch, fingerprint := rapid.Uint64().Draw(rt, "epoch"), rapid.Uint64().Draw(rt, "fingerprint")
		key := FormatToken(ref, epoch) + "." + rapid.StringMatching(`[!-}]{1,40}`).Draw(rt, "unique")
		id, err := parseAttempt(formatAttempt(key, fingerprint, ref.Incarnation))
		if err != nil || id.Key.Owner != ref || id.Key.Epoch != epoch || id.Fingerprint != fingerprint || id.Agent != ref.Incarnation {
			rt.Fatalf("%s parsed as %+v, %v", key, id, err)
		}
	})
}

// Guards against data races in Owner and Ledger, and against second runs that only the I/O code around the modules
// permits.
func TestConcurrentRequestsRunOnce(t *testing.T) {
	const keys, requests = 300, 8
	f := newFleet()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var draws atomic.Uint64
	draw := func(n int) int { return rand.New(rand.NewPCG(seed, draws.Add(1))).IntN(n) }
	f.loseReply = func() bool { return draw(10) == 0 }
	var nodes []*testNode
	for i := range 4 {
		nodes = append(nodes, f.start(t, fmt.Sprint("n", i), 1))
	}
	var runs [keys]atomic.Int64
	var outcomes [5]atomic.Int64
	var wg conc.WaitGroup
	for k := range keys {
		key := fmt.Sprint("plain-", k)
		if k%2 == 0 {
			key = nodes[k%4].owner.Token() + "." + key
		}
		for range requests {
			wg.Go(func() { outcomes[handleOnce(t, nodes, key, &runs[k], draw)].Add(1) })
		}
	}
	wg.Wait()
	total := int64(0)
	for k := range runs {
		require.LessOrEqual(t, runs[k].Load(), int64(1), "key %d", k)
		total += runs[k].Load()
	}
	require.Greater(t, total, int64(keys/2))
	t.Logf("%d of %d keys ran; run %d, answer %d, in-progress %d, unknown %d, not-run %d", total, keys,
		outcomes[0].Load(), outcomes[1].Load(), outcomes[2].Load(), outcomes[3].Load(), outcomes[4].Load())
}

// handleOnce does what the edge does for one request and returns the index of the outcome that the caller gets.
func handleOnce(t *testing.T, nodes []*testNode, key string, runs *atomic.Int64, draw func(int) int) int {
	edge, ctx := nodes[draw(len(nodes))], t.Context()
	d := edge.owner.Begin(ctx, KeyRequest{Key: key, Fingerprint: 1})
	if d.Kind != KindRun {
		return map[Kind]int{KindReplay: 1, KindInProgress: 2, KindUnknown: 3, KindNotRun: 4}[d.Kind]
	}
	outcome := model.OutcomeNotRun
	defer func() { edge.owner.End(d.Key, outcome) }()
	for range 3 {
		agent := nodes[draw(len(nodes))]
		attempt, ok := edge.owner.StartAttempt(d.Key, model.TargetRef{}, agent.self)
		if !ok {
			outcome = model.OutcomeUnknown
			return 3
		}
		switch admitted := draw(4); {
		case admitted == 0:
			edge.owner.RefuseAttempt(d.Key)
			continue
		case admitted == 1: // arrives late
			defer func() {
				if agent.ledger.Admit(attempt) {
					runs.Add(1)
				}
			}()
		case agent.ledger.Admit(attempt):
			runs.Add(1)
			agent.ledger.Finish(attempt, &StoredResponse{Status: 200, Body: []byte(key)})
			if admitted == 2 {
				edge.owner.FinishAttempt(d.Key)
				outcome = model.OutcomeDone
				return 0
			}
		}
		next := edge.owner.ResolveAttempt(ctx, d.Key)
		if next.Kind != KindRun {
			outcome = model.OutcomeUnknown
			return 3
		}
	}
	return 4
}
