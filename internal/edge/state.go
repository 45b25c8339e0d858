package edge

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Counters holds totals since the start of the edge.
type Counters struct {
	// Requests counts the requests that got as far as a first attempt.
	Requests     uint64 `json:"requests"`
	Retries      uint64 `json:"retries"`
	Resumptions  uint64 `json:"resumptions"`
	PathFailures uint64 `json:"path-failures"`
	// Done, NotRun and Unknown count responses by outcome; Broken counts responses that ended early for the caller.
	Done    uint64 `json:"done"`
	NotRun  uint64 `json:"not-run"`
	Unknown uint64 `json:"unknown"`
	Broken  uint64 `json:"broken"`
	// Unauthorized counts requests without the key of a client account, and Undecided those that the node could not judge
	// without a newer configuration or a confirmation of its own one. Both are among NotRun.
	Unauthorized uint64 `json:"unauthorized"`
	Undecided    uint64 `json:"undecided"`
}

// PoolState describes the connection pool of one agent.
type PoolState struct {
	Address string `json:"address"`
	Idle    int    `json:"idle"`
}

// State is the state of an edge for the state dump.
type State struct {
	InFlight int         `json:"in-flight"`
	Leaving  bool        `json:"leaving"`
	Routes   int         `json:"routes"`
	Number   uint64      `json:"number"`
	Counters Counters    `json:"counters"`
	Pools    []PoolState `json:"pools"`
}

type counters struct {
	requests, retries, resumptions, pathFailures, done, notRun, unknown, broken, unauthorized, undecided atomic.Uint64
}

// Counters returns the totals; they are not read as one atomic snapshot.
func (e *Edge) Counters() Counters {
	c := &e.counters
	return Counters{
		Requests: c.requests.Load(), Retries: c.retries.Load(), Resumptions: c.resumptions.Load(),
		PathFailures: c.pathFailures.Load(), Done: c.done.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		Broken: c.broken.Load(), Unauthorized: c.unauthorized.Load(), Undecided: c.undecided.Load(),
	}
}

// State returns the current state.
func (e *Edge) State() State {
	s := State{InFlight: e.InFlight(), Leaving: e.leaving.Load(), Counters: e.Counters(), Pools: []PoolState{}}
	if table := e.routes.Load(); table != nil {
		s.Routes, s.Number = table.Len(), table.Number()
	}
	e.pools.Range(func(address, pool any) bool {
		s.Pools = append(s.Pools, PoolState{Address: address.(string), Idle: pool.(*relay.Pool).Idle()})
		return true
	})
	slices.SortFunc(s.Pools, func(a, b PoolState) int { return cmp.Compare(a.Address, b.Address) })
	return s
}

func (q *request) count(o model.Outcome) {
	c := &q.edge.counters
	switch o {
	case model.OutcomeDone:
		c.done.Add(1)
	case model.OutcomeNotRun:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}
