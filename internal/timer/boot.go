package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the base of SinceBoot where the system has no clock that counts suspensions.
var processStart = time.Now()

// SinceBoot returns the time since the VM started. It also counts the time for which the VM was suspended, and does not
// follow changes of the time of day.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
