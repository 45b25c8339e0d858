package agent

import (
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// pauseCheck is the time between two ticks of the watch.
	pauseCheck = 100 * time.Millisecond
	// pauseBound is the time without a tick from which the process counts as paused. An edge takes an agent as silent
	// after half of it, so whatever waited in the sockets is given up by its senders.
	pauseBound = time.Second
	// pauseGrace is the time in which a resumed agent reads what the other nodes told it meanwhile; it is that of the
	// spread of a suspicion.
	pauseGrace = 300 * time.Millisecond
)

// pauseWatch detects that the process was paused, by SIGSTOP or with its VM. A resumed agent would run requests that
// were given up long ago, and does not know yet which requests crashed targets elsewhere.
type pauseWatch struct {
	clock timer.Service
	// last is the time of the latest tick and resumed that of the latest end of a pause, in Unix nanoseconds.
	last    atomic.Int64
	resumed atomic.Int64
}

func newPauseWatch(clock timer.Service) *pauseWatch {
	w := &pauseWatch{clock: clock}
	w.last.Store(clock.Now().UnixNano())
	return w
}

// tick notes that the process runs.
func (w *pauseWatch) tick() {
	now := w.observe()
	w.last.Store(now)
}

// recent reports whether a pause ended within the grace. It also finds a pause whose first tick is still to come.
func (w *pauseWatch) recent() bool {
	now := w.observe()
	return now-w.resumed.Load() < int64(pauseGrace)
}

// observe takes wall-clock time, because the monotonic clock may stand still while a VM is suspended. A step of the wall
// clock looks like a pause and costs refusals during the grace only.
func (w *pauseWatch) observe() int64 {
	now := w.clock.Now().UnixNano()
	if now-w.last.Load() > int64(pauseBound) {
		w.resumed.Store(now)
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
