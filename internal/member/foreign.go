package member

import "github.com/auburnwinch/auburnwinch/pkg/model"

// Key returns the number by which datagrams name one run of a node.
func Key(ref model.NodeRef) uint64 { return refKey(ref) }

// RumourOf returns the record as nodes pass it on; stand-ins of other nodes use it.
func RumourOf(r *NodeRecord, status Status, urgent bool) Rumour {
	return Rumour{
		Key: refKey(r.Node.Ref), Version: r.Version, ContentVersion: r.ContentVersion, Status: status, Ticket: r.Ticket, Urgent: urgent,
		Record: encodeRecord(r),
	}
}

// TicketListOf lists runs of nodes that have the ticket number in force.
func TicketListOf(ticket uint64, refs []model.NodeRef) TicketList {
	list := []TicketList{{Ticket: ticket}}
	unlimited := 1 << 30
	for _, ref := range refs {
		e := &entry{key: refKey(ref), record: NodeRecord{Ticket: ticket}}
		addNumber(&list, e, &unlimited)
	}
	return list[0]
}
