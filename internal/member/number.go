package member

import (
	"encoding/binary"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// numberListOverhead is the most bytes that a Number takes besides its keys.
const numberListOverhead = 16

// behindInterval is the least time between two reports of the same number, so that a fetch that fails is repeated with
// another peer.
const behindInterval = 250 * time.Millisecond

// behindState is the last report of a larger number.
type behindState struct {
	number uint64
	at     time.Time
}

// noteNumber raises the number in force of a node. Numbers travel apart from records: 750 tickets a day change the
// number of 670 nodes, and full records for that would take 31 KB/s per node.
func (m *Module) noteNumber(e *entry, number uint64, always bool) {
	if number <= e.record.Ticket {
		return
	}
	e.record.Ticket = number
	m.table.refresh(e)
	m.numberChanged = true
	if e.status.gone() && !always {
		return
	}
	e.numberSends = 0
	if !e.numberQueued {
		e.numberQueued = true
		m.rumours.numbers = append(m.rumours.numbers, e)
	}
}

// noteBehind reports a peer that has a larger number in force.
func (m *Module) noteBehind(peer model.Node, number uint64) {
	if number <= m.self.record.Ticket {
		return
	}
	if number <= m.behind.number && m.now.Sub(m.behind.at) < behindInterval {
		return
	}
	m.behind = behindState{number: max(number, m.behind.number), at: m.now}
	m.emit(TicketBehindCmd{Peer: peer, Number: number})
}

func (m *Module) applyNumbers(numbers []TicketList) {
	for _, n := range numbers {
		for keys := n.Keys; len(keys) >= shortKeySize; keys = keys[shortKeySize:] {
			e := m.table.byShort[binary.BigEndian.Uint32(keys)]
			if e != nil && e != m.self {
				m.noteNumber(e, n.Ticket, false)
			}
		}
	}
}

// packNumbers fills the rest of a datagram with ticket numbers that are being passed on.
func (m *Module) packNumbers(d *Datagram, space int) {
	limit := m.maxSends()
	for range m.rumours.numbers {
		e := m.rumours.numbers[0]
		if m.table.byKey[e.key] == e && !addNumber(&d.TicketLists, e, &space) {
			return
		}
		m.rumours.numbers = m.rumours.numbers[1:]
		if e.numberSends++; e.numberSends < limit {
			m.rumours.numbers = append(m.rumours.numbers, e)
		} else {
			e.numberQueued = false
		}
	}
}

// addNumber adds the key of an entry to the list of its number and returns false when the space is used up.
func addNumber(numbers *[]TicketList, e *entry, space *int) bool {
	list := findNumber(*numbers, e.record.Ticket)
	need := shortKeySize
	if list == nil {
		need += numberListOverhead
	}
	if *space < need {
		return false
	}
	*space -= need
	if list == nil {
		*numbers = append(*numbers, TicketList{Ticket: e.record.Ticket})
		list = &(*numbers)[len(*numbers)-1]
	}
	list.Keys = binary.BigEndian.AppendUint32(list.Keys, shortKey(e.key))
	return true
}

func findNumber(numbers []TicketList, ticket uint64) *TicketList {
	for i := range numbers {
		if numbers[i].Ticket == ticket {
			return &numbers[i]
		}
	}
	return nil
}

// numbersIn lists the numbers of all nodes in some buckets that are not dead.
func (m *Module) numbersIn(buckets uint64) []TicketList {
	var numbers []TicketList
	unlimited := 1 << 30
	for _, e := range m.table.sorted {
		if !e.status.gone() && buckets&(1<<bucketOf(e.key)) != 0 {
			addNumber(&numbers, e, &unlimited)
		}
	}
	return numbers
}
