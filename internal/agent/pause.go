package agent

import (
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// pauseCheckInterval is the time between two ticks of the detector.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the time without a tick from which the process counts as paused. An edge considers an agent silent
	// after half of it, so the senders have given up on every request that waited in the sockets.
	minPause = time.Second
	// pauseGrace is how long a resumed agent refuses requests while it reads what the other nodes sent meanwhile; it is
	// the time in which a suspicion spreads.
	pauseGrace = 300 * time.Millisecond
)

// pauseDetector detects that the process was paused, by SIGSTOP or with its VM. A resumed agent would run requests that
// were given up long ago, and does not know yet which requests crashed targets elsewhere.
type pauseDetector struct {
	clock timer.Service
	// last is the time of the latest tick and resumed that of the latest end of a pause, in Unix nanoseconds.
	last    atomic.Int64
	resumed atomic.Int64
}

func newPauseDetector(clock timer.Service) *pauseDetector {
	w := &pauseDetector{clock: clock}
	w.last.Store(clock.Now().UnixNano())
	return w
}

// tick records that the process runs.
func (w *pauseDetector) tick() {
	now := w.observe()
	w.last.Store(now)
}

// resumedRecently reports whether a pause ended within pauseGrace. It also detects a pause after which no tick has come
// yet.
func (w *pauseDetector) resumedRecently() bool {
	now := w.observe()
	return now-w.resumed.Load() < int64(pauseGrace)
}

// observe uses wall-clock time, because the monotonic clock may stand still while a VM is suspended. A step of the wall
// clock looks like a pause and only causes refusals during the grace period, also if the clock is set back later.
func (w *pauseDetector) observe() int64 {
	now := w.clock.Now().UnixNano()
	switch last := w.last.Load(); {
	case now-last > int64(minPause):
		w.resumed.Store(now)
		w.last.Store(now)
	case now < last:
		w.resumed.Store(min(now, w.resumed.Load()))
		w.last.Store(now)
	}
	return now
}

func (a *Agent) watchPauses(ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-ticks.C:
			a.pauses.tick()
		}
	}
}
