package peer

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// contentPause and numberPause bound how often a snapshot is built: when a region joins, hundreds of records change
	// within a second, and each snapshot copies all of them.
	contentPause = 50 * time.Millisecond
	numberPause  = time.Second
	// behindQueue holds reports for a slow hook; the module repeats a report that is dropped.
	behindQueue = 16
)

// behindReport is a peer with a larger ticket number.
type behindReport struct {
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
			p.sleep(contentPause)
		case <-p.numberChanged:
			p.publish()
			p.waitForContent(numberPause)
		}
	}
}

// waitForContent pauses, but not for changes of content.
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

// publish builds the snapshot and reports it. Only the notifying goroutine calls OnChange, so reports are in order.
func (p *Peer) publish() {
	s := p.refresh()
	if p.config.OnChange != nil {
		p.config.OnChange(s)
	}
}

// refresh builds the snapshot that Snapshot returns.
func (p *Peer) refresh() *member.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.module.Snapshot()
	p.snapshot.Store(s)
	return s
}

// reportBehind calls the hook, which may take long.
func (p *Peer) reportBehind() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case b := <-p.behind:
			p.config.OnNewerTicket(b.peer, b.number)
		}
	}
}
