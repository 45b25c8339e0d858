package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

type fixedConfiguration struct{ number uint64 }

func (c *fixedConfiguration) Configuration() *model.Configuration {
	return &model.Configuration{Number: c.number}
}

func (c *fixedConfiguration) Ready() bool { return true }

// Guards against a rebuild of the view for each spread ticket number, and against a change of records, or of the
// configuration, that is lost beside it.
func TestNumbersDoNotRebuildTheView(t *testing.T) {
	source := &fixedConfiguration{number: 1}
	published := 0
	v := newViewer(&viewer{
		clock: timer.NewManual(time.Unix(0, 0)), source: source, route: func(*model.Configuration) {},
		publish: func(*view.View) { published++ },
	})
	v.close() // The test refreshes by itself.
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
