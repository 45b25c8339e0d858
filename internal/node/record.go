package node

import (
	"sync"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// recordPublisher publishes the record of this node; peer.Peer implements it.
type recordPublisher interface {
	SetLocal(member.LocalState)
}

// localRecord collects the contents of this node's record and publishes each change.
type localRecord struct {
	mu        sync.Mutex
	local     member.LocalState
	publisher recordPublisher
}

func (r *localRecord) change(apply func(*member.LocalState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(&r.local)
	if r.publisher != nil {
		r.publisher.SetLocal(r.local)
	}
}

func (r *localRecord) connect(out recordPublisher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publisher = out
	out.SetLocal(r.local)
}

func (r *localRecord) setTargets(targets []model.Target) {
	r.change(func(l *member.LocalState) { l.Targets = targets })
}

func (r *localRecord) setClaims(claims []model.Claim) {
	r.change(func(l *member.LocalState) { l.Ejections = claims })
}

func (r *localRecord) setPoison(entries []model.PoisonEntry) {
	r.change(func(l *member.LocalState) { l.Poison = entries })
}

func (r *localRecord) setTicket(number uint64) {
	r.change(func(l *member.LocalState) { l.Ticket = max(l.Ticket, number) })
}

func (r *localRecord) setLeaving(successor model.NodeRef) {
	r.change(func(l *member.LocalState) {
		l.Leaving = true
		l.Successor = successor
	})
}
