package timer

import (
	"context"
	"time"
)

// Sleep waits and reports whether the time has passed before the context ended.
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
