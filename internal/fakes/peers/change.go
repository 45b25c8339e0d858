package peers

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// leaveTime is between the leaving record and the exit.
	leaveTime = 5 * time.Second
	// announceTime is between the versions in which a starting node publishes its targets, announceSteps their number: the
	// targets of a VM come up within 4 s, and a node publishes at most one version a second.
	announceTime  = time.Second
	announceSteps = 4
	// detectionMin and detectionSpread bound the time until some member suspects one that went silent: each member is
	// pinged once a second on average and suspected a second after the ping that it does not answer.
	detectionMin    = time.Second
	detectionSpread = 1500 * time.Millisecond
	// ticketSpread is the time in which a ticket reaches all nodes, and numberStep that in which some of them report it.
	ticketSpread = 1400 * time.Millisecond
	numberStep   = 100 * time.Millisecond
)

// Restart ends a member gracefully and starts it again after the time; the first member never restarts.
func (f *Fleet) Restart(i int, down time.Duration) {
	n := f.members[max(1, i)]
	f.publish(n, true, func(r *member.NodeRecord) { r.Leaving = true })
	f.later(leaveTime, func() {
		f.stop(n)
		f.tell(n, member.StatusLeft)
	})
	f.later(leaveTime+down, func() { f.start(n) })
}

// Fail ends a member without a word; the other members detect it. It stays down until Recover.
func (f *Fleet) Fail(i int) {
	n := f.members[max(1, i)]
	f.stop(n)
	f.later(detectionMin+f.upTo(detectionSpread), func() { f.tell(n, member.StatusSuspect) })
}

// Recover starts a member that has failed.
func (f *Fleet) Recover(i int) { f.start(f.members[max(1, i)]) }

// Accept puts an accepted ticket in force at the members, one after the other.
func (f *Fleet) Accept(t model.Ticket) {
	f.mu.Lock()
	f.tickets = append(f.tickets, t)
	targets := f.members[0].record.Targets
	order := f.random.Perm(len(f.members) - 1)
	f.mu.Unlock()
	f.execute(nil, f.update(member.LocalMsg{Now: time.Now(), Local: member.LocalState{Ticket: t.Number, Targets: targets}}))
	steps := int(ticketSpread / numberStep)
	for step := range steps {
		part := order[step*len(order)/steps : (step+1)*len(order)/steps]
		f.later(time.Duration(step)*numberStep, func() { f.report(t.Number, part) })
	}
}

// report tells that the members have the number in force.
func (f *Fleet) report(number uint64, part []int) {
	var refs []model.NodeRef
	f.mu.Lock()
	for _, i := range part {
		if n := f.members[1+i]; n.up {
			n.record.Ticket = number
			refs = append(refs, n.record.Node.Ref)
		}
	}
	f.mu.Unlock()
	f.hear(&member.Datagram{TicketLists: []member.TicketList{member.TicketListOf(number, refs)}})
}

func (f *Fleet) stop(n *node) {
	f.mu.Lock()
	n.up = false
	f.mu.Unlock()
	n.cut()
}

// start runs a member under a new incarnation; its targets follow in several versions.
func (f *Fleet) start(n *node) {
	f.mu.Lock()
	targets := slices.Clone(n.targets)
	n.record.Node.Ref.Incarnation = uint64(time.Now().UnixMicro())
	n.record.Version, n.record.ContentVersion, n.record.Leaving, n.record.Targets = 0, 0, false, nil
	n.record.Ticket = uint64(len(f.tickets))
	n.up = true
	for i := range targets {
		targets[i].Node = n.record.Node.Ref
		targets[i].Ref.Incarnation = n.record.Node.Ref.Incarnation
	}
	f.mu.Unlock()
	f.publish(n, false, func(*member.NodeRecord) {})
	for step := 1; step <= announceSteps; step++ {
		f.later(time.Duration(step)*announceTime, func() {
			f.publish(n, false, func(r *member.NodeRecord) { r.Targets = targets[:step*len(targets)/announceSteps] })
		})
	}
}

// publish changes the record of a member and spreads it.
func (f *Fleet) publish(n *node, urgent bool, change func(*member.NodeRecord)) {
	f.mu.Lock()
	change(&n.record)
	n.record.Version++
	n.record.ContentVersion = n.record.Version
	rumour := member.RumourOf(&n.record, member.StatusAlive, urgent)
	f.mu.Unlock()
	f.hear(&member.Datagram{Rumours: []member.Rumour{rumour}})
}

// tell spreads what the members believe about one that stopped.
func (f *Fleet) tell(n *node, status member.Status) {
	f.mu.Lock()
	if status == member.StatusLeft {
		n.record.Version++
	}
	rumour := member.RumourOf(&n.record, status, true)
	rumour.Record = nil
	f.mu.Unlock()
	f.hear(&member.Datagram{Rumours: []member.Rumour{rumour}})
}

// hear hands a change to the shared module as if a member had pushed it.
func (f *Fleet) hear(d *member.Datagram) {
	from := f.upMember()
	f.mu.Lock()
	d.Kind, d.From, d.Root = member.KindPush, from.record.Node.Ref, f.module.State().Root
	f.mu.Unlock()
	f.execute(nil, f.update(member.DatagramMsg{Now: time.Now(), Source: from.record.Node.PeerAddress, Datagram: d}))
}
