package peers

import (
	"context"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// pushSpread is the time within which the members that hear an urgent rumour push it on.
	pushSpread  = 500 * time.Millisecond
	callTimeout = 5 * time.Second
)

// execute carries out what the shared module decides; answers go out in the name of the member.
func (f *Fleet) execute(as *node, cmds []member.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			f.send(as, cmd)
		case member.SyncCmd:
			go f.sync(cmd.Request)
		case member.FetchCmd:
			if cmd.Address == f.config.Real {
				go f.fetch(cmd)
			}
		}
	}
}

func (f *Fleet) send(as *node, cmd member.SendCmd) {
	d := cmd.Datagram
	switch {
	case d.Kind == member.KindAck && as != nil:
		as.send(d)
	case d.Kind == member.KindPing && d.To != 0:
		f.acknowledge(cmd)
		f.sendPing(d)
	case d.Kind == member.KindPush:
		sent := *d
		f.later(f.upTo(pushSpread), func() {
			sent.To = 0
			f.upMember().send(&sent)
		})
	}
}

// acknowledge answers a ping of the module, which goes to the real node instead of the member that it was meant for.
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
	f.upMember().send(&sent)
}

func (f *Fleet) refAt(address string) (model.NodeRef, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.config.Real {
		return f.realRef, !f.realRef.IsZero()
	}
	if n := f.byPeer[address]; n != nil {
		return n.record.Node.Ref, true
	}
	return model.NodeRef{}, false
}

// receive hands a datagram of the real node to the module. A ping-request is answered as a ping when its target runs.
func (f *Fleet) receive(n *node, d *member.Datagram) {
	f.mu.Lock()
	f.realRef = d.From
	current := n.up && (d.To == 0 || d.To == member.Key(n.record.Node.Ref))
	answered := d.Kind == member.KindPing
	if d.Kind == member.KindPingRequest {
		target := f.byPeer[d.Target.Address]
		answered = target != nil && target.up
	}
	f.mu.Unlock()
	if !current {
		return
	}
	d.To, d.Kind = 0, member.KindPush
	if answered {
		d.Kind = member.KindPing
	}
	f.execute(n, f.update(member.DatagramMsg{Now: time.Now(), Source: f.config.Real, Datagram: d}))
}

func (f *Fleet) sync(request member.SyncRequest) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var reply member.SyncReply
	if f.wire.Call(ctx, f.config.Real, "Peer.Sync", request, &reply) == nil {
		f.execute(nil, f.update(member.SyncReplyMsg{Now: time.Now(), Address: f.config.Real, Reply: reply}))
	}
}

func (f *Fleet) fetch(cmd member.FetchCmd) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var reply member.FetchReply
	if f.wire.Call(ctx, f.config.Real, "Peer.Fetch", cmd.Request, &reply) == nil {
		f.execute(nil, f.update(member.FetchReplyMsg{Now: time.Now(), Gossip: cmd.Gossip, Reply: reply}))
	}
}
