package ticket

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// designSizeTicket returns a ticket with services and routes like those of the example deployments.
func designSizeTicket(number uint64, services, routes int) model.Ticket {
	t := model.Ticket{Number: number, Author: "Ada", Summary: "design size"}
	for s := range services {
		spec := model.ServiceSpec{
			Name: fmt.Sprintf("service-%03d", s), FloorSlots: 56, Profile: model.ProfileCapacity,
			Queue: model.QueueSpec{Places: 7, Wait: model.Duration(250 * time.Millisecond)}, AccountShare: 0.5,
		}
		for r := s; r < routes; r += services {
			spec.Routes = append(spec.Routes, model.RouteSpec{
				Name: fmt.Sprintf("route-%04d", r), Host: fmt.Sprintf("host-%03d.example", s), PathPrefix: fmt.Sprintf("/area-%04d/items", r),
				Methods: []string{"GET", "HEAD"}, Idempotent: true, Timeout: model.Duration(2 * time.Second),
			})
		}
		t.Services = append(t.Services, spec)
	}
	return t
}

// Guards against a configuration of the design size that does not fit into one ticket, or that is too large for a node
// to hold or send.
func TestDesignSizeFits(t *testing.T) {
	const (
		// memory is the memory budget of all control work of a node; the configuration may take a tenth of it.
		memory = 128 << 20
		// traffic is the control traffic of a node in bytes per day at 5 KB/s; a start may take a hundredth of it.
		traffic = 5_000 * 86_400
	)
	full := designSizeTicket(1, 170, 2_500)
	require.NoError(t, Validate(full))
	c := Apply(&model.Configuration{}, full)
	data, err := EncodeConfiguration(c)
	require.NoError(t, err)
	packed, err := EncodeBatch(BatchMsg{Snapshot: c})
	require.NoError(t, err)
	t.Logf("snapshot of 170 services and 2,500 routes: %d bytes encoded, %d compressed", len(data), len(packed))
	require.Less(t, len(data), memory/10)
	require.Less(t, len(packed), traffic/100)
	batch, err := DecodeBatch(peer(1), packed)
	require.NoError(t, err)
	require.Equal(t, BatchMsg{Source: peer(1), Snapshot: c}, batch)
}

// Guards against compressed data from a peer that exhausts the memory of a node.
func TestDecompressIsBounded(t *testing.T) {
	_, err := Decompress(Compress(make([]byte, maxDecompressed+1)))
	require.ErrorContains(t, err, "remedy")
	data, err := Decompress(Compress(make([]byte, maxDecompressed)))
	require.NoError(t, err)
	require.Len(t, data, maxDecompressed)
}

// FuzzDecodeBatch guards against panics on arbitrary data from a peer, and on applying a decoded batch.
func FuzzDecodeBatch(f *testing.F) {
	seed, err := EncodeBatch(BatchMsg{Snapshot: &model.Configuration{Number: 3}, Tickets: []model.Ticket{designSizeTicket(4, 1, 2)}})
	require.NoError(f, err)
	raw, err := Decompress(seed)
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		batch, err := DecodeBatch(peer(1), Compress(raw))
		if err != nil {
			return
		}
		m := New(Config{})
		m.Update(batch)
		again, err := EncodeBatch(m.After(0))
		require.NoError(t, err)
		_, err = DecodeBatch(peer(2), again)
		require.NoError(t, err)
	})
}

// BenchmarkApply measures applying a ticket with 2,500 routes, and one of typical size, to a configuration of the
// design size.
func BenchmarkApply(b *testing.B) {
	c := Apply(&model.Configuration{}, designSizeTicket(1, 170, 2_500))
	for _, size := range []struct{ services, routes int }{{170, 2_500}, {1, 15}} {
		t := designSizeTicket(2, size.services, size.routes)
		b.Run(fmt.Sprintf("routes=%d", size.routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := New(Config{Initial: c})
				m.Update(BatchMsg{Tickets: []model.Ticket{t}})
			}
		})
	}
}

// BenchmarkValidateAgainst measures the validation of a ticket with 2,500 routes.
func BenchmarkValidateAgainst(b *testing.B) {
	c := Apply(&model.Configuration{}, designSizeTicket(1, 170, 2_500))
	t := designSizeTicket(2, 170, 2_500)
	for b.Loop() {
		require.NoError(b, ValidateAgainst(c, t))
	}
}

// BenchmarkTickAt670Nodes measures one tick of a node and the selection of readers after a membership change.
func BenchmarkTickAt670Nodes(b *testing.B) {
	nodes := designSizeNodes()
	b.Run("tick", func(b *testing.B) {
		m := New(Config{})
		now := startTime
		for b.Loop() {
			now = now.Add(tickInterval)
			m.Update(TickMsg{Now: now})
		}
	})
	b.Run("readers", func(b *testing.B) {
		for b.Loop() {
			IsReader(nodes[0], nodes)
		}
	})
}

// Guards against an encoding that differs between two runs, which would change digests and snapshots.
func TestEncodingIsCanonical(t *testing.T) {
	a, err := Encode(designSizeTicket(1, 20, 200))
	require.NoError(t, err)
	b, err := Encode(designSizeTicket(1, 20, 200))
	require.NoError(t, err)
	require.True(t, bytes.Equal(a, b))
}
