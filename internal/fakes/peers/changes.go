package peers

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// leaveDelay is the time between the record that announces the exit and the exit.
	leaveDelay = 5 * time.Second
	// announceInterval is the time between the record versions in which a starting node publishes its targets,
	// announceSteps their number: the targets of a VM start within 4 s, and a node publishes at most one version a second.
	announceInterval = time.Second
	announceSteps    = 4
	// detectionMin and detectionJitter bound the time until some member suspects a failed one: each member is pinged once
	// a second on average and suspected a second after a ping that it does not acknowledge.
	detectionMin    = time.Second
	detectionJitter = 1500 * time.Millisecond
	// ticketPropagation is the time in which a ticket reaches all nodes, and ticketReportInterval the time between the
	// reports of groups of them.
	ticketPropagation    = 1400 * time.Millisecond
	ticketReportInterval = 100 * time.Millisecond
)

// Restart stops a member gracefully and starts it again after the downtime; the first member never restarts.
func (f *Fleet) Restart(i int, down time.Duration) {
	n := f.members[max(1, i)]
	f.publish(n, true, func(r *member.NodeRecord) { r.Leaving = true })
	f.runAfter(leaveDelay, func() {
		f.stop(n)
		f.publishStatus(n, member.StatusLeft)
	})
	f.runAfter(leaveDelay+down, func() { f.start(n) })
}

// Fail stops a member without notice; the other members detect the failure. It stays down until Recover.
func (f *Fleet) Fail(i int) {
	n := f.members[max(1, i)]
	f.stop(n)
	f.runAfter(detectionMin+f.randomDuration(detectionJitter), func() { f.publishStatus(n, member.StatusSuspect) })
}

// Recover starts a failed member.
func (f *Fleet) Recover(i int) { f.start(f.members[max(1, i)]) }

// Accept puts an accepted ticket in force at the members, one group after the other.
func (f *Fleet) Accept(t model.Ticket) {
	f.mu.Lock()
	f.tickets = append(f.tickets, t)
	targets := f.members[0].record.Targets
	order := f.random.Perm(len(f.members) - 1)
	f.mu.Unlock()
	f.execute(nil, f.update(member.LocalMsg{Now: time.Now(), Local: member.LocalState{Ticket: t.Number, Targets: targets}}))
	steps := int(ticketPropagation / ticketReportInterval)
	for step := range steps {
		group := order[step*len(order)/steps : (step+1)*len(order)/steps]
		f.runAfter(time.Duration(step)*ticketReportInterval, func() { f.reportTicket(t.Number, group) })
	}
}

// reportTicket reports that a group of members has the ticket in force.
func (f *Fleet) reportTicket(number uint64, group []int) {
	var refs []model.NodeRef
	f.mu.Lock()
	for _, i := range group {
		if n := f.members[1+i]; n.running {
			n.record.Ticket = number
			refs = append(refs, n.record.Node.Ref)
		}
	}
	f.mu.Unlock()
	f.observe(&member.Datagram{TicketLists: []member.TicketList{member.TicketListOf(number, refs)}})
}

func (f *Fleet) stop(n *node) {
	f.mu.Lock()
	n.running = false
	f.mu.Unlock()
	n.closeConns()
}

// start starts a member with a new incarnation; it publishes its targets in several record versions.
func (f *Fleet) start(n *node) {
	f.mu.Lock()
	targets := slices.Clone(n.targets)
	n.record.Node.Ref.Incarnation = uint64(time.Now().UnixMicro())
	n.record.Version, n.record.ContentVersion, n.record.Leaving, n.record.Targets = 0, 0, false, nil
	n.record.Ticket = uint64(len(f.tickets))
	n.running = true
	for i := range targets {
		targets[i].Node = n.record.Node.Ref
		targets[i].Ref.Incarnation = n.record.Node.Ref.Incarnation
	}
	f.mu.Unlock()
	f.publish(n, false, func(*member.NodeRecord) {})
	for step := 1; step <= announceSteps; step++ {
		f.runAfter(time.Duration(step)*announceInterval, func() {
			f.publish(n, false, func(r *member.NodeRecord) { r.Targets = targets[:step*len(targets)/announceSteps] })
		})
	}
}

// publish changes the record of a member and gossips it.
func (f *Fleet) publish(n *node, urgent bool, change func(*member.NodeRecord)) {
	f.mu.Lock()
	change(&n.record)
	n.record.Version++
	n.record.ContentVersion = n.record.Version
	rumour := member.RumourOf(&n.record, member.StatusAlive, urgent)
	f.mu.Unlock()
	f.observe(&member.Datagram{Rumours: []member.Rumour{rumour}})
}

// publishStatus gossips the status that the members assign to a stopped one.
func (f *Fleet) publishStatus(n *node, status member.Status) {
	f.mu.Lock()
	if status == member.StatusLeft {
		n.record.Version++
	}
	rumour := member.RumourOf(&n.record, status, true)
	rumour.Record = nil
	f.mu.Unlock()
	f.observe(&member.Datagram{Rumours: []member.Rumour{rumour}})
}

// observe passes a change to the shared module as if a member had pushed it.
func (f *Fleet) observe(d *member.Datagram) {
	from := f.randomMember()
	f.mu.Lock()
	d.Kind, d.From, d.Root = member.KindPush, from.record.Node.Ref, f.module.State().Root
	f.mu.Unlock()
	f.execute(nil, f.update(member.DatagramMsg{Now: time.Now(), Source: from.record.Node.PeerAddress, Datagram: d}))
}
