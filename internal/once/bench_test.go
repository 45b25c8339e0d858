package once

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// measureVariable is the environment variable that enables the measurement with 1,000 keys/s, which needs the memory of
// several nodes.
const measureVariable = "ONCE_MEASURE"

func benchKeys(n int, token string) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = token + ".5f0c9a3e-7d51-4c2e-9a70-" + strconv.Itoa(i)
	}
	return keys
}

func newBenchNode(t testing.TB, clock timer.Service, maxKeys, epochKeys int) *testNode {
	f := newFleet()
	n := &testNode{self: model.Node{Ref: model.NodeRef{ID: "norte-a-0417", Incarnation: 1_764_819_330_000_000}}}
	var err error
	n.ledger, err = NewLedger(LedgerConfig{Self: n.self.Ref, Clock: clock, MaxKeys: maxKeys})
	require.NoError(t, err)
	n.owner, err = NewOwner(Config{
		Self: n.self, Peers: f, Claims: f, Directory: f, Clock: clock, MaxKeys: maxKeys, EpochKeys: epochKeys,
	})
	require.NoError(t, err)
	t.Cleanup(func() { n.owner.Close(); n.ledger.Close() })
	return n
}

// benchmark runs one call per key on all cores, after prepare was called for every key.
func benchmark(b *testing.B, prepare, call func(n *testNode, key string)) {
	n := newBenchNode(b, timer.NewReal(), b.N*2+shards*64, b.N+1)
	keys := benchKeys(b.N, n.owner.Token())
	for _, key := range keys {
		prepare(n, key)
	}
	var next atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			call(n, keys[next.Add(1)-1])
		}
	})
}

func begin(n *testNode, key string) {
	if n.owner.Begin(context.Background(), KeyRequest{Key: key, Fingerprint: 1}).Kind != KindRun {
		panic(key)
	}
}

func start(n *testNode, key string) {
	if _, ok := n.owner.StartAttempt(key, model.TargetRef{}, n.self); !ok {
		panic(key)
	}
}

func admit(n *testNode, key string) {
	if !n.ledger.Admit(formatAttempt(key, 1, n.self.Ref.Incarnation)) {
		panic(key)
	}
}

func finish(n *testNode, key string) { n.owner.FinishAttempt(key) }

func end(n *testNode, key string) { n.owner.End(key, model.OutcomeDone) }

// BenchmarkKeys measures each call separately; Admit includes the formatting of the attempt, which is the owner's work.
func BenchmarkKeys(b *testing.B) {
	calls := []func(*testNode, string){begin, start, finish, end}
	for i, name := range []string{"Begin", "StartAttempt", "FinishAttempt", "End"} {
		b.Run(name, func(b *testing.B) {
			benchmark(b, func(n *testNode, key string) {
				for _, call := range calls[:i] {
					call(n, key)
				}
			}, calls[i])
		})
	}
	b.Run("Admit", func(b *testing.B) { benchmark(b, func(*testNode, string) {}, admit) })
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against keys that take more memory than a node has for its control-plane work: 128 MB less 32 MiB of responses,
// divided by the limit of 270,000 keys, leaves 350 bytes per key for owner and ledger together. The rate of 1,000
// keys/s is measured only if ONCE_MEASURE is set.
func TestMemoryPerKey(t *testing.T) {
	const bytesPerKey = 350
	rates := []int{10, 100}
	if os.Getenv(measureVariable) != "" {
		rates = append(rates, 1000)
	}
	for _, rate := range rates {
		t.Run(fmt.Sprint(rate, " keys per second"), func(t *testing.T) {
			clock := timer.NewManual(testTime)
			before := heapBytes()
			n := newBenchNode(t, clock, 1_000_000, 0)
			slowest, elapsed := time.Duration(0), time.Duration(0)
			for second := range 600 {
				clock.Advance(time.Second)
				if second%10 == 0 {
					began := time.Now()
					n.owner.tick(clock.Now())
					n.ledger.expire(clock.Now())
					slowest = max(slowest, time.Since(began))
				}
				began := time.Now()
				for _, key := range benchKeys(rate, n.owner.Token()+"."+strconv.Itoa(second)) {
					begin(n, key)
					start(n, key)
					admit(n, key)
					n.ledger.Finish(formatAttempt(key, 1, n.self.Ref.Incarnation), nil)
					finish(n, key)
					end(n, key)
				}
				elapsed += time.Since(began)
			}
			keys := 600 * rate
			perKey := float64(heapBytes()-before) / float64(keys)
			t.Logf("%d keys: %.0f bytes per key, %.0f MB, slowest tick %s, %.2f%% of a core", keys, perKey, perKey*float64(keys)/1e6,
				slowest, 100*elapsed.Seconds()/600)
			if keys > 10_000 {
				require.Less(t, perKey, float64(bytesPerKey))
			}
			require.Equal(t, keys, n.owner.State().Keys)
			require.Equal(t, keys, n.ledger.State().Keys)
			require.Zero(t, n.owner.State().Held)
		})
	}
}
