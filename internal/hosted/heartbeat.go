package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// ackTimeout bounds the time until the store holds what an acknowledgement promises. Targets wait for one second.
	ackTimeout = 800 * time.Millisecond
	// maxClockSkew is the most by which clocks of VMs and targets are assumed to differ; they jump by seconds.
	maxClockSkew = 24 * time.Hour
)

// Announce handles a heartbeat of the target on this VM. It returns nil or agent.ErrStaleHeartbeat for a draining
// heartbeat only once the store holds that the target drains, because the target takes either for an acknowledgement,
// which the next process of the node must keep.
func (n *Node) Announce(ctx context.Context, h agent.Announcement) error {
	if n.stopping.Load() && !h.Draining {
		return agent.ErrStaleHeartbeat
	}
	if err := n.checkAnnouncement(h); err != nil {
		return err
	}
	if !h.Draining && n.hold(h) {
		return nil
	}
	err := n.agent.Announce(h)
	if !h.Draining || err != nil && !eris.Is(err, agent.ErrStaleHeartbeat) {
		return err
	}
	if errStore := n.store(ctx); errStore != nil {
		return errStore
	}
	return err
}

// heldHeartbeat is a heartbeat that waits until the node knows whether its sender has left.
type heldHeartbeat struct {
	agent.Announcement
	sign agent.LifeSign
}

// hold keeps a heartbeat back while the process does not know whether its sender has left under the earlier process, and
// reports whether it did. A target that has left sends no more heartbeats, so the next one that is no duplicate shows that it
// has not, and a node that starts while the store is away uses its target.
func (n *Node) hold(h agent.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRestored() {
		return false
	}
	now, held := n.config.Clock.Now(), n.held
	if held != nil && held.ID == h.ID && held.Incarnation == h.Incarnation {
		return !held.sign.IsConfirmedBy(h.Sequence, now)
	}
	if held == nil || h.Incarnation > held.Incarnation {
		n.held = &heldHeartbeat{Announcement: h, sign: agent.LifeSign{Sequence: h.Sequence, Arrived: now}}
	}
	return true
}

// checkAnnouncement fails for a heartbeat that would replace the target of this VM and can't come from a target: its
// incarnation, which is the time of its start in Unix milliseconds, is far ahead, or no configuration names its service.
func (n *Node) checkAnnouncement(h agent.Announcement) error {
	if h.Incarnation > uint64(n.config.Clock.Now().Add(maxClockSkew).UnixMilli()) {
		return eris.Errorf("the target %q claims to start at %d, far ahead; correct its clock", h.ID, h.Incarnation)
	}
	v := n.fleet.view.Load()
	targets := n.agent.Targets()
	isKnown := slices.ContainsFunc(targets, func(t model.Target) bool { return t.Ref.Service == h.Service && t.Ref.ID == h.ID })
	if v == nil || v.Service(h.Service) != nil || len(targets) == 0 || isKnown {
		return nil
	}
	return eris.Errorf("no configuration names the service %q of the target %q; add it, or correct the name", h.Service, h.ID)
}

// Withdraw removes a target that has deregistered. It returns nil only once the store holds the withdrawal, so that a
// delayed heartbeat can't bring the target back at the next process of the node.
func (n *Node) Withdraw(ctx context.Context, service, id string) error {
	if !n.agent.Withdraw(service, id) {
		// An incarnation is the time of the target's start, so a later one is another run of it.
		n.agent.WithdrawUnknown(service, id, uint64(n.config.Clock.Now().UnixMilli()))
	}
	return n.store(ctx)
}

// store publishes the record and waits until the row holds it.
func (n *Node) store(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	begin := n.config.Clock.Now()
	select {
	case <-n.restored:
	case <-ctx.Done():
	}
	err := ctx.Err()
	if err == nil {
		err = n.publisher.Await(ctx, n.publish())
	}
	if err != nil {
		_ = level.Warn(n.config.FailureLogger).Log("msg", "leaving of the target not stored", "restored", n.isRestored(),
			"after", n.config.Clock.Now().Sub(begin), "err", err)
		return agent.ErrNotStored
	}
	return nil
}

// Refused logs a heartbeat that was rejected.
func (n *Node) Refused(id string, err error) {
	_ = level.Warn(n.config.FailureLogger).Log("msg", "heartbeat ignored", "target", id, "err", err)
}
