package retry

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against retries above 10% of the first attempts, apart from the reserve.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Burst: rapid.IntRange(1, 30).Draw(t, "burst"), Reserve: rapid.IntRange(-1, 10).Draw(t, "reserve")}
		b := NewBudget(c)
		first, retries := 0, 0
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") {
				b.Deposit()
				first++
			} else if b.Withdraw() {
				retries++
			}
			reserve := c.Reserve
			if reserve == 0 {
				reserve = defaultReserve
			}
			require.LessOrEqual(t, 10*retries, max(10*min(reserve, c.Burst), first))
		}
		for range 100_000 {
			b.Deposit()
		}
		spent := 0
		for b.Withdraw() {
			spent++
		}
		require.Equal(t, c.Burst, spent, "the budget must not hold more than its burst")
	})
}

// Guards against tokens that are lost or duplicated under concurrency, and against a zero value that permits no
// retries.
func TestBudgetIsConcurrent(t *testing.T) {
	b := &Budget{}
	var retries atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				b.Deposit()
				if b.Withdraw() {
					retries.Add(1)
				}
			}
		})
	}
	group.Wait()
	for b.Withdraw() {
		retries.Add(1)
	}
	require.Equal(t, int64(800), retries.Load())
}

// Guards against retries that could run a request twice or mix two responses.
func TestAllowed(t *testing.T) {
	require.True(t, Allowed(Attempt{Number: 1, Result: NotRun, BodyReplayable: true}))
	require.True(t, Allowed(Attempt{Number: 2, Result: InDoubt, Idempotent: true, BodyReplayable: true}))
	require.False(t, Allowed(Attempt{Number: 1, Result: InDoubt, BodyReplayable: true}))
	require.False(t, Allowed(Attempt{Number: 3, Result: NotRun, Idempotent: true, BodyReplayable: true}))
	require.False(t, Allowed(Attempt{Number: 1, Result: NotRun, Idempotent: true}))
	require.False(t, Allowed(Attempt{Number: 1, Result: NotRun, Idempotent: true, BodyReplayable: true, ResponseStarted: true}))
}
