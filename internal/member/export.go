package member

import "github.com/auburnwinch/auburnwinch/pkg/model"

// Key returns the hash that identifies one run of a node, its ID and incarnation, in datagrams.
func Key(ref model.NodeRef) uint64 { return refKey(ref) }

// RumourOf encodes a record as a rumour; simulated nodes in tests and benchmarks use it.
func RumourOf(r *NodeRecord, status Status, urgent bool) Rumour {
	return Rumour{
		Key: refKey(r.Node.Ref), Version: r.Version, ContentVersion: r.ContentVersion, Status: status, Ticket: r.Ticket, Urgent: urgent,
		Record: encodeRecord(r),
	}
}

// TicketListOf returns the list of the given nodes for a ticket number.
func TicketListOf(ticket uint64, refs []model.NodeRef) TicketList {
	list := []TicketList{{Ticket: ticket}}
	unlimited := 1 << 30
	for _, ref := range refs {
		e := &entry{key: refKey(ref), record: NodeRecord{Ticket: ticket}}
		addToTicketList(&list, e, &unlimited)
	}
	return list[0]
}
