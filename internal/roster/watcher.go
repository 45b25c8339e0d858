package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
)

const (
	// readTimeout bounds the read of a whole table.
	readTimeout = 5 * time.Second
	// defaultSettle groups changes that come close together into one answer.
	defaultSettle = 250 * time.Millisecond
	// defaultWait is how long one call waits for changes.
	defaultWait = 30 * time.Second
	// lostWait replaces it after a failure: a store that takes calls and does not answer must not hold one for long, since
	// it does not answer it after its return either.
	lostWait = 500 * time.Millisecond
)

// WatcherConfig describes what is watched; Table and OnRows are required.
type WatcherConfig struct {
	Table Table
	// Name names the table in the log.
	Name string
	// OnRows is called with all rows first, and with the changed ones later; calls do not overlap.
	OnRows func(Page)
	// BatchDelay is the time between an answer and the next call; default 250 ms.
	BatchDelay time.Duration
	// Wait is how long one call waits for changes; default 30 s.
	Wait   time.Duration
	Logger log.Logger
}

// Watcher follows the rows of a table until it is closed.
type Watcher struct {
	config WatcherConfig
	pauses pauses
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu sync.Mutex
	// again ends the call that waits; it is nil while none does.
	again context.CancelFunc
	// kicked tells that a call was ended to look again.
	kicked bool
}

// NewWatcher starts to follow the table.
func NewWatcher(c WatcherConfig) *Watcher {
	if c.BatchDelay <= 0 {
		c.BatchDelay = defaultSettle
	}
	if c.Wait <= 0 {
		c.Wait = defaultWait
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	w := &Watcher{config: c}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.group.Go(func() { w.run(ctx) })
	return w
}

// Refresh ends the call that waits and makes a new one, because another node knows of a change that did not arrive.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.again != nil {
		w.kicked = true
		w.again()
	}
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.cancel()
	w.group.Wait()
}

func (w *Watcher) run(ctx context.Context) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		page, err := w.next(ctx, version, known)
		switch {
		case err == nil:
			w.regained()
			version, known = page.Version, true
			if page.Whole || len(page.Rows) > 0 {
				w.config.OnRows(page)
				timer.Sleep(ctx, w.config.BatchDelay)
			}
		case errors.Is(err, ErrHistoryLost):
			_ = level.Info(w.config.Logger).Log("msg", "history lost, reading the table anew", "table", w.config.Name, "version", version)
			known = false
		default:
			w.lost(ctx, err)
		}
	}
}

func (w *Watcher) next(ctx context.Context, version uint64, known bool) (Page, error) {
	if known {
		wait := w.config.Wait
		if w.pauses.failures > 0 {
			wait = min(wait, lostWait)
		}
		ctx, cancel := context.WithCancel(ctx)
		w.waiting(cancel)
		defer w.waiting(nil)
		defer cancel()
		return w.config.Table.Watch(ctx, version, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return w.config.Table.Read(ctx)
}

func (w *Watcher) waiting(again context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.again = again
}

// wasKicked reports whether the call was ended to look again.
func (w *Watcher) wasKicked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	kicked := w.kicked
	w.kicked = false
	return kicked
}

func (w *Watcher) lost(ctx context.Context, err error) {
	if ctx.Err() != nil || w.wasKicked() {
		return
	}
	if w.pauses.failures == 0 {
		_ = level.Warn(w.config.Logger).Log("msg", "store lost", "table", w.config.Name, "err", err)
	}
	timer.Sleep(ctx, w.pauses.next())
}

func (w *Watcher) regained() {
	if failures := w.pauses.reset(); failures > 0 {
		_ = level.Info(w.config.Logger).Log("msg", "store regained", "table", w.config.Name, "failures", failures)
	}
}
