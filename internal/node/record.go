package node

import (
	"sync"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// publisher spreads the own record; peer.Peer implements it.
type publisher interface {
	SetLocal(member.LocalState)
}

// ownRecord collects the parts of the own record from the parts of the node and publishes each change.
type ownRecord struct {
	mu    sync.Mutex
	local member.LocalState
	out   publisher
}

func (r *ownRecord) change(apply func(*member.LocalState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(&r.local)
	if r.out != nil {
		r.out.SetLocal(r.local)
	}
}

func (r *ownRecord) connect(out publisher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out = out
	out.SetLocal(r.local)
}

func (r *ownRecord) setTargets(targets []model.Target) {
	r.change(func(l *member.LocalState) { l.Targets = targets })
}

func (r *ownRecord) setClaims(claims []model.Claim) {
	r.change(func(l *member.LocalState) { l.Ejections = claims })
}

func (r *ownRecord) setPoison(entries []model.PoisonEntry) {
	r.change(func(l *member.LocalState) { l.Poison = entries })
}

func (r *ownRecord) setTicket(number uint64) {
	r.change(func(l *member.LocalState) { l.Ticket = max(l.Ticket, number) })
}

func (r *ownRecord) setLeaving(successor model.NodeRef) {
	r.change(func(l *member.LocalState) {
		l.Leaving = true
		l.Successor = successor
	})
}
