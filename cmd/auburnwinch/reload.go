package main

import (
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/internal/hosted"
	"github.com/auburnwinch/auburnwinch/internal/sighup"
	"github.com/auburnwinch/auburnwinch/platform"
)

// settingsPollInterval is the interval at which the settings file is polled, because it may change without a signal.
const settingsPollInterval = time.Second

// reloader applies changed settings to the running node.
type reloader struct {
	path    string
	current platform.Settings
	node    *hosted.Node
	modTime time.Time
	stop    chan struct{}
	group   conc.WaitGroup
}

func newReloader(path string, current *platform.Settings, n *hosted.Node) *reloader {
	r := &reloader{path: path, current: *current, node: n, stop: make(chan struct{})}
	r.checkModified()
	r.group.Go(func() { r.run(sighup.Signals()) })
	return r
}

func (r *reloader) close() {
	close(r.stop)
	r.group.Wait()
}

func (r *reloader) run(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-signals:
			r.checkModified()
			r.reload("signal")
		case <-ticker.C:
			if r.checkModified() {
				r.reload("file")
			}
		}
	}
}

// checkModified reports whether the modification time of the file has changed since the last call. An unreadable file
// counts as unchanged: the current settings stay in effect and the next poll tries again.
func (r *reloader) checkModified() bool {
	info, err := os.Stat(r.path)
	if err != nil || info.ModTime().Equal(r.modTime) {
		return false
	}
	r.modTime = info.ModTime()
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
	r.node.SetConfigurationBound(next.ConfigurationBound)
	r.node.SetRevocation(access.Revocation{Strict: next.StrictRevoke, Bound: next.RevokeBound})
	r.node.LogReload(cause, nil, ignored)
}
