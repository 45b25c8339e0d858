package peers

import (
	"context"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxPushDelay is the time within which the members that receive an urgent rumour forward it.
	maxPushDelay = 500 * time.Millisecond
	callTimeout  = 5 * time.Second
)

// execute executes the commands of the shared module; acknowledgements are sent with the member as the sender.
func (f *Fleet) execute(sender *node, cmds []member.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			f.send(sender, cmd)
		case member.SyncCmd:
			go f.sync(cmd.Request)
		case member.FetchCmd:
			if cmd.Address == f.config.Real {
				go f.fetch(cmd)
			}
		}
	}
}

func (f *Fleet) send(sender *node, cmd member.SendCmd) {
	d := cmd.Datagram
	switch {
	case d.Kind == member.KindAck && sender != nil:
		sender.send(d)
	case d.Kind == member.KindPing && d.To != 0:
		f.acknowledge(cmd)
		f.sendPing(d)
	case d.Kind == member.KindPush:
		sent := *d
		f.runAfter(f.randomDuration(maxPushDelay), func() {
			sent.To = 0
			f.randomMember().send(&sent)
		})
	}
}

// acknowledge acknowledges a ping of the module to a member, because the ping itself is sent to the real node instead.
func (f *Fleet) acknowledge(cmd member.SendCmd) {
	from, known := f.refAt(cmd.Address)
	if !known {
		return
	}
	ack := &member.Datagram{Kind: member.KindAck, From: from, Sequence: cmd.Datagram.Sequence, Root: cmd.Datagram.Root}
	f.execute(nil, f.update(member.DatagramMsg{Now: time.Now(), Source: cmd.Address, Datagram: ack}))
}

func (f *Fleet) sendPing(d *member.Datagram) {
	f.mu.Lock()
	ref := f.realRef
	f.sequence++
	sequence := f.sequence
	f.mu.Unlock()
	if ref.IsZero() {
		return
	}
	sent := *d
	sent.To, sent.Sequence = member.Key(ref), sequence
	f.randomMember().send(&sent)
}

func (f *Fleet) refAt(address string) (model.NodeRef, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.config.Real {
		return f.realRef, !f.realRef.IsZero()
	}
	if n := f.byPeerAddress[address]; n != nil {
		return n.record.Node.Ref, true
	}
	return model.NodeRef{}, false
}

// receive passes a datagram from the real node to the module. It turns a ping-request into a ping if its target is
// running.
func (f *Fleet) receive(n *node, d *member.Datagram) {
	f.mu.Lock()
	f.realRef = d.From
	accepted := n.running && (d.To == 0 || d.To == member.Key(n.record.Node.Ref))
	isPing := d.Kind == member.KindPing
	if d.Kind == member.KindPingRequest {
		target := f.byPeerAddress[d.Target.Address]
		isPing = target != nil && target.running
	}
	f.mu.Unlock()
	if !accepted {
		return
	}
	d.To, d.Kind = 0, member.KindPush
	if isPing {
		d.Kind = member.KindPing
	}
	f.execute(n, f.update(member.DatagramMsg{Now: time.Now(), Source: f.config.Real, Datagram: d}))
}

func (f *Fleet) sync(request member.SyncRequest) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var reply member.SyncReply
	if f.transport.Call(ctx, f.config.Real, "Peer.Sync", request, &reply) == nil {
		f.execute(nil, f.update(member.SyncReplyMsg{Now: time.Now(), Address: f.config.Real, Reply: reply}))
	}
}

func (f *Fleet) fetch(cmd member.FetchCmd) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var reply member.FetchReply
	if f.transport.Call(ctx, f.config.Real, "Peer.Fetch", cmd.Request, &reply) == nil {
		f.execute(nil, f.update(member.FetchReplyMsg{Now: time.Now(), Gossip: cmd.Gossip, Reply: reply}))
	}
}
