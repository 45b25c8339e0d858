package main

import (
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/hangup"
	"github.com/auburnwinch/auburnwinch/internal/hosted"
	"github.com/auburnwinch/auburnwinch/platform"
)

// settingsCheck is the time between two looks at the settings file, which may change without a signal.
const settingsCheck = time.Second

// reloader takes over changed settings while the node runs.
type reloader struct {
	path    string
	current platform.Settings
	node    *hosted.Node
	changed time.Time
	stop    chan struct{}
	group   conc.WaitGroup
}

func newReloader(path string, current *platform.Settings, n *hosted.Node) *reloader {
	r := &reloader{path: path, current: *current, node: n, stop: make(chan struct{})}
	r.modified()
	r.group.Go(func() { r.run(hangup.Signals()) })
	return r
}

func (r *reloader) close() {
	close(r.stop)
	r.group.Wait()
}

func (r *reloader) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-signals:
			r.modified()
			r.reload("signal")
		case <-ticker.C:
			if r.modified() {
				r.reload("file")
			}
		}
	}
}

// modified notes the time of the file and reports whether it has changed. A file that can't be read has not changed: the
// settings stay, and the next look tells.
func (r *reloader) modified() bool {
	info, err := os.Stat(r.path)
	if err != nil || info.ModTime().Equal(r.changed) {
		return false
	}
	r.changed = info.ModTime()
	return true
}

func (r *reloader) reload(cause string) {
	next, err := platform.Load(r.path)
	if err != nil {
		r.node.LogReload(cause, err, nil)
		return
	}
	ignored := next.RestartFields(r.current)
	r.current = *next
	r.node.SetRetryBudget(hosted.RetryBudget{Ratio: next.RetryRatio, Extra: next.RetryExtra, Window: next.RetryWindow})
	r.node.SetGrace(next.Grace)
	r.node.LogReload(cause, nil, ignored)
}
