package member

import (
	"encoding/binary"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ticketListOverhead is the maximum encoded size of a TicketList without its keys, in bytes.
const ticketListOverhead = 16

// newerTicketInterval is the least time between two reports of the same ticket number, so that a failed fetch is
// retried with another peer.
const newerTicketInterval = 250 * time.Millisecond

// newerTicketState is the last reported ticket number.
type newerTicketState struct {
	number uint64
	at     time.Time
}

// raiseTicket raises the ticket number of a node. Ticket numbers are sent separately from records: 750 tickets a day
// change the number of 670 nodes, and sending full records for that would take 31 KB/s per node.
func (m *Module) raiseTicket(e *entry, number uint64, always bool) {
	if number <= e.record.Ticket {
		return
	}
	e.record.Ticket = number
	m.table.updateDigests(e)
	m.ticketChanged = true
	if e.status.deadOrLeft() && !always {
		return
	}
	e.ticketSends = 0
	if !e.ticketQueued {
		e.ticketQueued = true
		m.rumours.tickets = append(m.rumours.tickets, e)
	}
}

// reportNewerTicket reports a peer at which a larger ticket number is in force.
func (m *Module) reportNewerTicket(peer model.Node, number uint64) {
	if number <= m.self.record.Ticket {
		return
	}
	if number <= m.newerTicket.number && m.now.Sub(m.newerTicket.at) < newerTicketInterval {
		return
	}
	m.newerTicket = newerTicketState{number: max(number, m.newerTicket.number), at: m.now}
	m.emit(NewerTicketCmd{Peer: peer, Number: number})
}

func (m *Module) applyTicketLists(lists []TicketList) {
	for _, l := range lists {
		for keys := l.Keys; len(keys) >= shortKeySize; keys = keys[shortKeySize:] {
			e := m.table.byShortKey[binary.BigEndian.Uint32(keys)]
			if e != nil && e != m.self {
				m.raiseTicket(e, l.Ticket, false)
			}
		}
	}
}

// packTickets fills the remaining space of a datagram with ticket numbers that are being gossiped.
func (m *Module) packTickets(d *Datagram, space int) {
	limit := m.maxSends()
	for range m.rumours.tickets {
		e := m.rumours.tickets[0]
		if m.table.byKey[e.key] == e && !addToTicketList(&d.TicketLists, e, &space) {
			return
		}
		m.rumours.tickets = m.rumours.tickets[1:]
		if e.ticketSends++; e.ticketSends < limit {
			m.rumours.tickets = append(m.rumours.tickets, e)
		} else {
			e.ticketQueued = false
		}
	}
}

// addToTicketList adds the key of an entry to the list of its ticket number; it returns false when the space is too
// small.
func addToTicketList(lists *[]TicketList, e *entry, space *int) bool {
	list := findTicketList(*lists, e.record.Ticket)
	need := shortKeySize
	if list == nil {
		need += ticketListOverhead
	}
	if *space < need {
		return false
	}
	*space -= need
	if list == nil {
		*lists = append(*lists, TicketList{Ticket: e.record.Ticket})
		list = &(*lists)[len(*lists)-1]
	}
	list.Keys = binary.BigEndian.AppendUint32(list.Keys, shortKey(e.key))
	return true
}

func findTicketList(lists []TicketList, ticket uint64) *TicketList {
	for i := range lists {
		if lists[i].Ticket == ticket {
			return &lists[i]
		}
	}
	return nil
}

// ticketListsIn returns the ticket numbers of all nodes in the given buckets that are not dead or left.
func (m *Module) ticketListsIn(buckets uint64) []TicketList {
	var lists []TicketList
	unlimited := 1 << 30
	for _, e := range m.table.sorted {
		if !e.status.deadOrLeft() && buckets&(1<<bucketOf(e.key)) != 0 {
			addToTicketList(&lists, e, &unlimited)
		}
	}
	return lists
}
