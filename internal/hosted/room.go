package hosted

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/purse"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// roomRetryAfter is when a caller that was refused for lack of room may come again.
	roomRetryAfter = time.Second
	// roomLogInterval bounds the log lines about closed connections.
	roomLogInterval = time.Second
	// uploadShare is the fraction of the memory of a process that the request bodies at its target may take together.
	uploadShare = 4
)

// roomLog writes at most one line per interval about connections that were closed to make room.
type roomLog struct {
	mu         sync.Mutex
	logged     time.Time
	suppressed int
}

func (n *Node) buildPurse() {
	n.purse = purse.New(purse.Config{
		Budget: purse.NewBudget(n.config.MemoryBytes, n.config.Descriptors), Clock: n.config.Clock, Observe: n.observePurse,
	})
	if n.purse != nil {
		n.config.Dial = n.purse.Dial(n.config.Dial)
	}
}

// observePurse counts and logs what the purse closes and refuses.
func (n *Node) observePurse(cmd purse.Cmd) {
	var fields []any
	switch cmd := cmd.(type) {
	case purse.CloseCmd:
		n.metrics.closedClients.Add(cmd.Listener, string(cmd.Reason))
		fields = []any{
			"msg", "connection closed to make room", "listener", cmd.Listener, "peer", cmd.Peer,
			"reason", cmd.Reason, "held", cmd.Held, "stall", cmd.Stall,
		}
	case purse.RefuseCmd:
		n.metrics.refusedClients.Add(cmd.Listener, string(cmd.Reason))
		fields = []any{"msg", "client refused for lack of room", "listener", cmd.Listener, "peer", cmd.Peer, "reason", cmd.Reason}
	}
	if suppressed, ok := n.roomLog.allow(n.config.Clock.Now()); ok {
		_ = level.Warn(n.config.FailureLogger).Log(append(fields, "suppressed", suppressed)...)
	}
}

func (l *roomLog) allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.logged) < roomLogInterval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.logged, l.suppressed = l.suppressed, now, 0
	return suppressed, true
}

// refuseCallerForRoom refuses a caller's request that the node has no memory for.
func (n *Node) refuseCallerForRoom(w http.ResponseWriter, r *http.Request) {
	n.refuse(w, r, relay.Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: roomRetryAfter,
		Answer: model.Answer{Outcome: model.OutcomeNotRun, Reason: "the node of this VM has no memory left for the request"},
	}, "no memory")
}

// refuseRelayedForRoom refuses another node's request that this node has no memory for.
func refuseRelayedForRoom(w http.ResponseWriter, r *http.Request) {
	w.Header()[model.HeaderExchange] = r.Header[model.HeaderExchange]
	w.Header()[model.HeaderReason] = []string{relay.ReasonNoSlot}
	relay.WriteRefusal(w, relay.Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: roomRetryAfter,
		Answer: model.Answer{Outcome: model.OutcomeNotRun, Reason: relay.ReasonNoSlot, Remedy: "the edge decides on another attempt"},
	})
}
