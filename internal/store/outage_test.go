package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func requests(platform interface{ Counters() []fault.Counter }) (n uint64) {
	for _, c := range platform.Counters() {
		n += c.Requests
	}
	return n
}

// Guards against an outage in which every call of a node opens a connection and waits.
func TestOpenBreakerSendsNothing(t *testing.T) {
	platform := startPlatform(t)
	clock := timer.NewManual(time.Unix(1_000, 0))
	s := newStore(t, platform, store.Config{Clock: clock})
	ctx := context.Background()
	require.NoError(t, platform.Faults.Set(fault.Rule{Kind: fault.Away}))
	for range 3 {
		_, err := s.Head(ctx)
		require.Error(t, err)
	}
	sent := requests(platform.Faults)
	began := time.Now()
	for range 10_000 {
		_, err := s.ClaimKey(ctx, "key", "token")
		var unavailable *store.UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.False(t, unavailable.Sent)
	}
	require.Equal(t, sent, requests(platform.Faults), "an open breaker sends nothing")
	require.Less(t, time.Since(began), time.Second, "a refused call takes well under 100 µs")
	require.True(t, s.TableStats().Unavailable)

	require.NoError(t, platform.Faults.Set())
	clock.Advance(2 * time.Second)
	_, err := s.Head(ctx)
	require.NoError(t, err, "the probe after the interval closes the breaker")
	require.False(t, s.TableStats().Unavailable)
}

// Guards against a breaker that opens because of short deadlines of callers, and against one that stays closed while
// the platform hangs.
func TestBreakerIgnoresShortDeadlines(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{})
	claim := func(deadline time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		_, err := s.ClaimKey(ctx, "key", "token")
		require.Error(t, err)
	}
	require.NoError(t, platform.Faults.Set(fault.Rule{Kind: fault.Hang, Delay: model.Duration(time.Minute)}))
	for range 5 {
		claim(time.Millisecond)
	}
	require.False(t, s.TableStats().Unavailable)
	for range 3 {
		claim(600 * time.Millisecond)
	}
	require.True(t, s.TableStats().Unavailable)
	require.False(t, s.ObjectStats().Unavailable, "the services fail independently")
}

// Guards against two owners of one plain key when the response to the first claim is lost.
func TestClaimSurvivesLostResponses(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{})
	ctx := context.Background()
	require.NoError(t, platform.Faults.Set(fault.Rule{Operation: "PutItem", Kind: fault.Lost, Count: 1}))
	claim, err := s.ClaimKey(ctx, "key", "token-a")
	require.NoError(t, err)
	require.True(t, claim.Won)
	require.NoError(t, platform.Faults.Set(fault.Rule{Operation: "PutItem", Kind: fault.Lost}))
	_, err = s.ClaimKey(ctx, "other", "token-a")
	require.Error(t, err, "a claim with unknown outcome is not returned")
	require.NoError(t, platform.Faults.Set())
	claim, err = s.ClaimKey(ctx, "other", "token-b")
	require.NoError(t, err)
	require.False(t, claim.Won)
	require.Equal(t, "token-a", claim.Token, "the write with the lost response took effect")
}

// Guards against an earlier incarnation that was paused and then overwrites or removes the row of a later one.
func TestRegistryKeepsTheLaterIncarnation(t *testing.T) {
	platform := startPlatform(t)
	s := newStore(t, platform, store.Config{})
	ctx := context.Background()
	later := model.Node{Ref: model.NodeRef{ID: "a", Incarnation: 9}, Region: "norte"}
	require.NoError(t, platform.Faults.Set(fault.Rule{Operation: "PutItem", Kind: fault.Lost, Count: 1}))
	require.NoError(t, s.RegisterNode(ctx, later))
	earlier := model.NodeRef{ID: "a", Incarnation: 8}
	var stale *store.StaleIncarnationError
	require.ErrorAs(t, s.RegisterNode(ctx, model.Node{Ref: earlier}), &stale)
	require.ErrorAs(t, s.RemoveNode(ctx, earlier), &stale)
	nodes, err := s.Nodes(ctx)
	require.NoError(t, err)
	require.Equal(t, []model.Node{later}, nodes)
	require.NoError(t, s.RemoveNode(ctx, later.Ref))
	require.NoError(t, s.RemoveNode(ctx, later.Ref), "removing a node twice is harmless")
}

// Guards against credentials or endpoints that are taken from the environment.
func TestEnvironmentIsIgnored(t *testing.T) {
	t.Setenv("AWS_ENDPOINT_URL", "http://127.0.0.1:1")
	t.Setenv("AWS_ACCESS_KEY_ID", "foreign")
	t.Setenv("AWS_SECRET_ACCESS_KEY", "foreign")
	t.Setenv("AWS_REGION", "foreign")
	s := newStore(t, startPlatform(t), store.Config{})
	_, err := s.Head(context.Background())
	require.NoError(t, err)
	require.NoError(t, s.SaveSnapshot(context.Background(), &model.Configuration{Number: 50}))
	_, err = store.New(store.Config{})
	require.ErrorContains(t, err, "platform.table-endpoint")
}
