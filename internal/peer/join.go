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
	joinRetry = 500 * time.Millisecond
	// aloneAfter is how long a node that can reach no listed node waits before it takes itself for the first one.
	aloneAfter = 10 * time.Second
	// joinFanout is the number of listed addresses that one attempt tries.
	joinFanout = 3
	// firstContact and lastContact are the bounds of the growing interval at which a node that has joined dials a listed
	// address that is not among its records. It joins groups of nodes that started apart.
	firstContact = 2 * time.Second
	lastContact  = time.Minute
	// registryAge is how long a list of registered nodes is used; 670 nodes then read the registry about once a second.
	registryAge     = 10 * time.Minute
	registryTimeout = 3 * time.Second
)

// listing is the last list of addresses at which other nodes may run.
type listing struct {
	addresses []string
	// complete tells that the registry answered, or that none is configured.
	complete bool
	at       time.Time
}

// join takes over the records of some node and then keeps contact with the listed addresses.
func (p *Peer) join() {
	start := time.Now()
	for !p.isJoined() && p.ctx.Err() == nil {
		l := p.list()
		p.tryJoin(l)
		if !p.isJoined() && ((l.complete && len(l.addresses) == 0) || time.Since(start) >= aloneAfter) {
			level.Info(p.log).Log("msg", "no other node answers; starting alone", "listed", len(l.addresses))
			p.execute(p.update(member.BootstrapMsg{Now: p.config.Clock.Now()}))
		}
		if !p.isJoined() {
			p.sleep(joinRetry)
		}
	}
	// A node without others has its first snapshot now; no change of the membership would publish one.
	p.contentChanged.Raise()
	close(p.joined)
	p.keepContact()
}

func (p *Peer) tryJoin(l listing) {
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

func (p *Peer) keepContact() {
	l := p.list()
	for interval := firstContact; p.ctx.Err() == nil; interval = min(2*interval, lastContact) {
		p.sleep(interval/2 + rand.N(interval))
		if time.Since(l.at) > registryAge/2+rand.N(registryAge) {
			l = p.list()
		}
		if address, ok := p.unknownAddress(l); ok && p.ctx.Err() == nil {
			p.contact(address)
		}
	}
}

// unknownAddress returns a random listed address that belongs to no known node.
func (p *Peer) unknownAddress(l listing) (string, bool) {
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

// list reads the registry, and falls back to the seeds when it fails or lists no other node.
func (p *Peer) list() listing {
	l := listing{complete: true, at: time.Now()}
	if p.config.RegisteredNodes != nil {
		ctx, cancel := context.WithTimeout(p.ctx, registryTimeout)
		defer cancel()
		nodes, err := p.config.RegisteredNodes(ctx)
		if err != nil {
			l.complete = false
			level.Warn(p.log).Log("msg", "node registry cannot be read; using the seeds", "err", err)
		}
		for _, n := range nodes {
			l.addresses = append(l.addresses, n.PeerAddress)
		}
	}
	l.addresses = p.others(l.addresses)
	if len(l.addresses) == 0 {
		l.addresses = p.others(p.config.Seeds)
	}
	return l
}

// others leaves out the own address and duplicates, in random order.
func (p *Peer) others(addresses []string) []string {
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
