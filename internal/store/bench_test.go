package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// randomTicket returns a ticket whose names do not compress.
func randomTicket(routes int) model.Ticket {
	random := rand.New(rand.NewPCG(1, 2))
	t := model.Ticket{Number: 1, Author: "Ada", Services: []model.ServiceSpec{{Name: "large", FloorSlots: 1}}}
	for range routes {
		prefix := "/"
		for range 8 {
			prefix += fmt.Sprintf("%016x", random.Uint64())
		}
		t.Services[0].Routes = append(t.Services[0].Routes, model.RouteSpec{Name: prefix[1:33], PathPrefix: prefix, Idempotent: true})
	}
	return t
}

// BenchmarkFileTicket measures the latency of filing over loopback and the platform calls per ticket.
func BenchmarkFileTicket(b *testing.B) {
	platform, err := cloud.Start(cloud.Config{})
	require.NoError(b, err)
	defer func() { require.NoError(b, platform.Close()) }()
	s, err := store.New(store.Config{Platform: platform.Settings()})
	require.NoError(b, err)
	ctx := context.Background()
	number := uint64(0)
	for b.Loop() {
		number++
		_, err := s.FileTicket(ctx, sampleTicket(number, "bench"))
		require.NoError(b, err)
	}
	stats := s.TableStats()
	b.ReportMetric(float64(stats.Writes)/float64(number), "writes/ticket")
	b.ReportMetric(float64(stats.Reads)/float64(number), "reads/ticket")
}

// BenchmarkClaimKey measures the latency of one claim over loopback.
func BenchmarkClaimKey(b *testing.B) {
	platform, err := cloud.Start(cloud.Config{})
	require.NoError(b, err)
	defer func() { require.NoError(b, platform.Close()) }()
	s, err := store.New(store.Config{Platform: platform.Settings()})
	require.NoError(b, err)
	number := 0
	for b.Loop() {
		number++
		_, err := s.ClaimKey(context.Background(), fmt.Sprint(number), "token")
		require.NoError(b, err)
	}
}
