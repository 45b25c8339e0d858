package node

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

type fixedConfiguration struct {
	number     uint64
	readyCalls atomic.Int64
}

func (c *fixedConfiguration) Configuration() *model.Configuration {
	return &model.Configuration{Number: c.number, Services: []model.ServiceSpec{{}}}
}

func (c *fixedConfiguration) Ready() bool {
	c.readyCalls.Add(1)
	return true
}

// Guards against a rebuild of the view for each announced ticket number, and against losing a change of records or of
// the configuration that arrives together with one.
func TestTicketNumbersDoNotRebuildTheView(t *testing.T) {
	source := &fixedConfiguration{number: 1}
	published := 0
	v := newViewUpdater(&viewUpdater{
		clock: timer.NewManual(time.Unix(0, 0)), source: source, applyRoutes: func(*model.Configuration) {},
		publish: func(*view.View) { published++ }, wake: notify.New(),
	})
	v.close() // The test calls refresh itself.
	for _, step := range []struct {
		generation uint64
		number     uint64
		want       int
	}{{1, 1, 1}, {1, 1, 1}, {2, 1, 2}, {2, 2, 3}, {2, 2, 3}} {
		source.number = step.number
		v.setMembers(&member.Snapshot{Generation: step.generation})
		v.refresh()
		require.Equal(t, step.want, published)
	}
	v.setMembers(&member.Snapshot{Generation: 3})
	v.setMembers(&member.Snapshot{Generation: 3})
	v.refresh()
	require.Equal(t, 4, published)
}

// Guards against a view updater that polls although nothing changed, that loses the last of many changes, or that
// rebuilds more often than once per interval.
func TestViewUpdaterWaitsForChanges(t *testing.T) {
	source := &fixedConfiguration{number: 1}
	clock := timer.NewManual(time.Unix(0, 0))
	var mu sync.Mutex
	var times []time.Time
	var latest *view.View
	v := newViewUpdater(&viewUpdater{
		clock: clock, source: source, applyRoutes: func(*model.Configuration) {}, wake: notify.New(),
		publish: func(next *view.View) {
			mu.Lock()
			defer mu.Unlock()
			times, latest = append(times, clock.Now()), next
		},
	})
	defer v.close()
	published := func(targets int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			clock.Advance(time.Millisecond)
			return latest != nil && len(latest.Services[0].Candidates) == targets
		}
	}
	clock.Advance(time.Minute)
	time.Sleep(2 * viewInterval)
	require.Zero(t, source.readyCalls.Load(), "nothing changed yet")
	const changes = 300
	for i := 1; i <= changes; i++ {
		v.setMembers(&member.Snapshot{Generation: uint64(i), Records: []member.NodeRecord{{Targets: make([]model.Target, i)}}})
		if i == 1 || i == changes {
			require.Eventually(t, published(i), 5*time.Second, time.Millisecond)
		}
		clock.Advance(time.Millisecond)
	}
	for i := 1; i < len(times); i++ {
		require.GreaterOrEqual(t, times[i].Sub(times[i-1]), viewInterval)
	}
	require.EqualValues(t, len(times), source.readyCalls.Load())
}
