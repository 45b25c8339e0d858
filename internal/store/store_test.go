package store_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func startPlatform(t *testing.T) *cloud.Platform {
	t.Helper()
	platform, err := cloud.Start(cloud.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	return platform
}

func newStore(t *testing.T, platform *cloud.Platform, c store.Config) *store.Store {
	t.Helper()
	c.Platform = platform.Settings()
	s, err := store.New(c)
	require.NoError(t, err)
	return s
}

func sampleTicket(number uint64, summary string) model.Ticket {
	return model.Ticket{
		Number: number, Author: "Ada", Summary: summary,
		Services: []model.ServiceSpec{{
			Name: "courtview", FloorSlots: 42,
			Routes: []model.RouteSpec{{Name: "all", PathPrefix: "/", Idempotent: true}},
		}},
	}
}

// Guards against tickets that can't be read after they were filed.
func TestFiledTicketsAreReadBack(t *testing.T) {
	s := newStore(t, startPlatform(t), store.Config{})
	ctx := context.Background()
	head, err := s.Head(ctx)
	require.NoError(t, err)
	require.Zero(t, head)
	for n := uint64(1); n <= 3; n++ {
		receipt, err := s.FileTicket(ctx, sampleTicket(n, "first"))
		require.NoError(t, err)
		require.Equal(t, n, receipt.Number)
	}
	head, err = s.Head(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 3, head)
	tickets, err := s.Tickets(ctx, 1, 0)
	require.NoError(t, err)
	require.Equal(t, []model.Ticket{sampleTicket(2, "first"), sampleTicket(3, "first")}, tickets)
	one, err := s.Ticket(ctx, 2)
	require.NoError(t, err)
	require.Equal(t, sampleTicket(2, "first"), one)
}

// Guards against registry rows, claims and snapshots that change when they are written and read back.
func TestNodesClaimsAndSnapshots(t *testing.T) {
	s := newStore(t, startPlatform(t), store.Config{})
	ctx := context.Background()
	node := model.Node{Ref: model.NodeRef{ID: "norte-1-vm1", Incarnation: 5}, Domain: "norte-1", Region: "norte", PeerAddress: "127.0.0.1:7000"}
	require.NoError(t, s.RegisterNode(ctx, node))
	nodes, err := s.Nodes(ctx)
	require.NoError(t, err)
	require.Equal(t, []model.Node{node}, nodes)

	first, err := s.ClaimKey(ctx, "kassa/order-1", "aw1.a.1.1")
	require.NoError(t, err)
	require.True(t, first.Won)
	second, err := s.ClaimKey(ctx, "kassa/order-1", "aw1.b.1.1")
	require.NoError(t, err)
	require.Equal(t, store.Claim{Key: "kassa/order-1", Token: "aw1.a.1.1"}, second)

	_, err = s.Snapshot(ctx)
	var missing *store.NotFoundError
	require.ErrorAs(t, err, &missing)
	for _, number := range []uint64{50, 100} {
		require.NoError(t, s.SaveSnapshot(ctx, &model.Configuration{Number: number, Services: sampleTicket(1, "").Services}))
	}
	c, err := s.Snapshot(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 100, c.Number)
	require.Equal(t, sampleTicket(1, "").Services, c.Services)
}
