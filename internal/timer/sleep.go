package timer

import (
	"context"
	"time"
)

// Sleep waits for the duration; it returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}
