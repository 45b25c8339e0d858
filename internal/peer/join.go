package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/go-kit/log/level"
)

const (
	joinRetryInterval = 500 * time.Millisecond
	// bootstrapDelay is how long a node that can't reach any node of its address list tries to join before it starts as
	// the first node of the fleet.
	bootstrapDelay = 10 * time.Second
	// joinFanout is the maximum number of addresses of the list that one attempt to join contacts.
	joinFanout = 3
	// minContactInterval and maxContactInterval bound the growing interval at which a node that has joined contacts an
	// address of the list that belongs to no member known to it. This connects groups of nodes that started separately.
	minContactInterval = 2 * time.Second
	maxContactInterval = time.Minute
	// registryTTL is how long a list of registered nodes is used; with it, 670 nodes read the registry about once a
	// second.
	registryTTL     = 10 * time.Minute
	registryTimeout = 3 * time.Second
)

// addressList is a list of addresses of other nodes, from the node registry or, if that has none, from the configured
// seeds.
type addressList struct {
	addresses []string
	// registryRead is set unless reading the configured registry failed; an empty list then means that there are no
	// other nodes.
	registryRead bool
	readAt       time.Time
}

// join gets the member records from another node, or starts as the first node of the fleet. It then keeps contacting
// addresses of the list that belong to no known member.
func (p *Peer) join() {
	start := time.Now()
	for !p.isJoined() && p.ctx.Err() == nil {
		l := p.listAddresses()
		p.tryJoin(l)
		if !p.isJoined() && ((l.registryRead && len(l.addresses) == 0) || time.Since(start) >= bootstrapDelay) {
			level.Info(p.log).Log("msg", "no other node answered; starting as the first node", "listed", len(l.addresses))
			p.execute(p.update(member.BootstrapMsg{Now: p.config.Clock.Now()}))
		}
		if !p.isJoined() {
			p.sleep(joinRetryInterval)
		}
	}
	// A node without peers publishes its first snapshot here, because no membership change triggers one.
	p.contentChanged.Raise()
	close(p.joined)
	p.contactUnknown()
}

func (p *Peer) tryJoin(l addressList) {
	for _, address := range l.addresses[:min(joinFanout, len(l.addresses))] {
		if p.isJoined() || p.ctx.Err() != nil {
			return
		}
		p.contact(address)
	}
}

func (p *Peer) contact(address string) {
	for _, cmd := range p.update(member.JoinMsg{Now: p.config.Clock.Now(), Address: address}) {
		if sync, ok := cmd.(member.SyncCmd); ok {
			p.runSync(sync)
			continue
		}
		p.execute([]member.Cmd{cmd})
	}
}

func (p *Peer) contactUnknown() {
	l := p.listAddresses()
	for interval := minContactInterval; p.ctx.Err() == nil; interval = min(2*interval, maxContactInterval) {
		p.sleep(interval/2 + rand.N(interval))
		if time.Since(l.readAt) > registryTTL/2+rand.N(registryTTL) {
			l = p.listAddresses()
		}
		if address, ok := p.unknownAddress(l); ok && p.ctx.Err() == nil {
			p.contact(address)
		}
	}
}

// unknownAddress returns a random address of the list that belongs to no known member.
func (p *Peer) unknownAddress(l addressList) (string, bool) {
	known := make(map[string]struct{})
	for _, r := range p.Snapshot().Records {
		known[r.Node.PeerAddress] = struct{}{}
	}
	unknown := slices.DeleteFunc(slices.Clone(l.addresses), func(a string) bool {
		_, ok := known[a]
		return ok
	})
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[rand.IntN(len(unknown))], true
}

// listAddresses reads the registry; it returns the seeds when that fails or lists no other node.
func (p *Peer) listAddresses() addressList {
	l := addressList{registryRead: true, readAt: time.Now()}
	if p.config.RegisteredNodes != nil {
		ctx, cancel := context.WithTimeout(p.ctx, registryTimeout)
		defer cancel()
		nodes, err := p.config.RegisteredNodes(ctx)
		if err != nil {
			l.registryRead = false
			level.Warn(p.log).Log("msg", "cannot read the node registry; using the seeds", "err", err)
		}
		for _, n := range nodes {
			l.addresses = append(l.addresses, n.PeerAddress)
		}
	}
	l.addresses = p.otherAddresses(l.addresses)
	if len(l.addresses) == 0 {
		l.addresses = p.otherAddresses(p.config.Seeds)
	}
	return l
}

// otherAddresses removes the address of this node and duplicates, and shuffles the rest.
func (p *Peer) otherAddresses(addresses []string) []string {
	own := p.config.Self.PeerAddress
	kept := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own || a == "" })
	slices.Sort(kept)
	kept = slices.Compact(kept)
	rand.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	return kept
}

func (p *Peer) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.ctx.Done():
	case <-timer.C:
	}
}
