package peer

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// contentInterval and ticketInterval bound how often a snapshot is built: when a region joins, hundreds of records
	// change within a second, and each snapshot copies all of them.
	contentInterval = 50 * time.Millisecond
	ticketInterval  = time.Second
	// newerTicketQueue bounds the reports queued for a slow OnNewerTicket; the module repeats a report that is dropped.
	newerTicketQueue = 16
)

// newerTicket reports a peer at which a larger ticket number is in force.
type newerTicket struct {
	peer   model.Node
	number uint64
}

// notify publishes snapshots after changes.
func (p *Peer) notify() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.contentChanged:
			p.publish()
			p.sleep(contentInterval)
		case <-p.ticketChanged:
			p.publish()
			p.waitForContent(ticketInterval)
		}
	}
}

// waitForContent sleeps, and publishes early when content changes.
func (p *Peer) waitForContent(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
	case <-timer.C:
	case <-p.contentChanged:
		p.publish()
	}
}

// publish builds a snapshot and reports it. Only the notify goroutine calls OnChange, so snapshots are reported in
// order.
func (p *Peer) publish() {
	s := p.refreshSnapshot()
	if p.config.OnChange != nil {
		p.config.OnChange(s)
	}
}

// refreshSnapshot builds and stores the snapshot that Snapshot returns.
func (p *Peer) refreshSnapshot() *member.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.module.Snapshot()
	p.snapshot.Store(s)
	return s
}

// reportNewerTickets calls OnNewerTicket, which may block.
func (p *Peer) reportNewerTickets() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case b := <-p.newerTickets:
			p.config.OnNewerTicket(b.peer, b.number)
		}
	}
}
