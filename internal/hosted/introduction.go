package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// introductionInterval is the least time between two introductions of one node.
const introductionInterval = time.Second

// introductions tell nodes that have no configuration of other nodes. They are safe for concurrent use.
type introductions struct {
	send func(context.Context, model.Node) error

	mu sync.Mutex
	// last holds the time of the last introduction of each node within introductionInterval.
	last map[string]time.Time
}

// start introduces the node in the background, unless that was done recently.
func (i *introductions) start(now time.Time, node model.Node) {
	if node.PeerAddress == "" || !i.due(now, node.Ref.ID) {
		return
	}
	go func() { _ = i.send(context.Background(), node) }() // The next response of the node shows whether it needs another one.
}

func (i *introductions) due(now time.Time, id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for other, at := range i.last {
		if now.Sub(at) >= introductionInterval {
			delete(i.last, other)
		}
	}
	if _, recent := i.last[id]; recent {
		return false
	}
	if i.last == nil {
		i.last = make(map[string]time.Time)
	}
	i.last[id] = now
	return true
}
