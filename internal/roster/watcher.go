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
	// defaultReadTimeout bounds one read of the whole table.
	defaultReadTimeout = 5 * time.Second
	// defaultBatchDelay groups changes that follow each other closely into one response.
	defaultBatchDelay = 250 * time.Millisecond
	// defaultWait is how long one call waits for changes.
	defaultWait = 30 * time.Second
	// waitAfterFailure is the wait after a failure and while a change is known to be missing. A store that accepts calls
	// without responding does not respond to them after it has recovered either, so that one which does not respond at
	// once is to be called again.
	waitAfterFailure = 0
)

// WatcherConfig configures a Watcher; Table and OnRows are required.
type WatcherConfig struct {
	Table Table
	// Name is the name of the table in log lines.
	Name string
	// OnRows is called with all rows first and with changed rows later. Calls do not overlap.
	OnRows func(Page)
	// BatchDelay is the time between a response with rows and the next call; the default is 250 ms.
	BatchDelay time.Duration
	// Wait is how long one call waits for changes; the default is 30 s.
	Wait time.Duration
	// ReadTimeout bounds one read of the whole table; the default is 5 s.
	ReadTimeout time.Duration
	Logger      log.Logger
}

// Watcher reports the rows of a table and their changes until it is closed.
type Watcher struct {
	config  WatcherConfig
	backoff backoff
	cancel  context.CancelFunc
	group   conc.WaitGroup

	mu sync.Mutex
	// cancelCall cancels the pending call; it is nil while there is none.
	cancelCall context.CancelFunc
	// refreshRequested is true when Refresh has canceled a call.
	refreshRequested bool
	// behind is true from a call of Refresh to the next response.
	behind bool
}

// NewWatcher starts to watch the table.
func NewWatcher(c WatcherConfig) *Watcher {
	if c.BatchDelay <= 0 {
		c.BatchDelay = defaultBatchDelay
	}
	if c.Wait <= 0 {
		c.Wait = defaultWait
	}
	if c.ReadTimeout <= 0 {
		c.ReadTimeout = defaultReadTimeout
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

// Refresh cancels the pending call and starts a new one, because another node knows of a change that did not arrive.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behind = true
	if w.cancelCall != nil {
		w.refreshRequested = true
		w.cancelCall()
	}
}

// Close stops the watcher and waits for it.
func (w *Watcher) Close() {
	w.cancel()
	w.group.Wait()
}

func (w *Watcher) run(ctx context.Context) {
	version, era, known, begun := uint64(0), uint64(0), false, false
	for ctx.Err() == nil {
		page, err := w.next(ctx, version, known)
		switch {
		case err == nil && page.Era < era:
			w.callFailed(ctx, ErrStaleEra)
		case err == nil && page.Era > era && known && !page.Whole:
			known = false // The table is read anew, since changes may be missing.
		case err == nil:
			w.callSucceeded()
			if begun && page.Era > era {
				_ = level.Warn(w.config.Logger).Log("msg", "store came back from a copy", "table", w.config.Name, "era", page.Era, "before", era)
			}
			version, era, known, begun = page.Version, page.Era, true, true
			if page.Whole || len(page.Rows) > 0 {
				w.config.OnRows(page)
				timer.Sleep(ctx, w.config.BatchDelay)
			}
		case errors.Is(err, ErrHistoryLost):
			_ = level.Info(w.config.Logger).Log("msg", "history lost, reading the table anew", "table", w.config.Name, "version", version)
			known = false
		default:
			w.callFailed(ctx, err)
		}
	}
}

func (w *Watcher) next(ctx context.Context, version uint64, known bool) (Page, error) {
	if known {
		wait := w.config.Wait
		if w.backoff.failures > 0 || w.isBehind() {
			wait = waitAfterFailure
		}
		ctx, cancel := context.WithCancel(ctx)
		w.setCancelCall(cancel)
		defer w.setCancelCall(nil)
		defer cancel()
		return w.config.Table.Watch(ctx, version, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, w.config.ReadTimeout)
	defer cancel()
	return w.config.Table.Read(ctx)
}

func (w *Watcher) setCancelCall(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall = cancel
}

func (w *Watcher) isBehind() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.behind
}

// takeRefreshRequest reports whether Refresh has canceled the call, and clears the request.
func (w *Watcher) takeRefreshRequest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	requested := w.refreshRequested
	w.refreshRequested = false
	return requested
}

func (w *Watcher) callFailed(ctx context.Context, err error) {
	if ctx.Err() != nil || w.takeRefreshRequest() {
		return
	}
	if w.backoff.failures == 0 {
		_ = level.Warn(w.config.Logger).Log("msg", "store lost", "table", w.config.Name, "err", err)
	}
	timer.Sleep(ctx, w.backoff.next())
}

func (w *Watcher) callSucceeded() {
	w.mu.Lock()
	w.behind = false
	w.mu.Unlock()
	if failures := w.backoff.reset(); failures > 0 {
		_ = level.Info(w.config.Logger).Log("msg", "store regained", "table", w.config.Name, "failures", failures)
	}
}
