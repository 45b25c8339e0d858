package agent

import (
	"errors"
	"slices"
	"sync"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxWithdrawn bounds the withdrawn targets that are remembered; a VM has one target at a time.
const maxWithdrawn = 16

// withdrawals are the latest withdrawn targets, so that a delayed heartbeat does not add them again.
type withdrawals struct {
	mu   sync.Mutex
	refs []model.TargetRef
	// draining are those that an earlier process of this node knew as draining.
	draining []model.TargetRef
}

// ErrStaleHeartbeat refuses a heartbeat older than a message that has already arrived; the sender need not act.
var ErrStaleHeartbeat = eris.New("stale heartbeat: a newer message of this target or of its replacement has arrived")

// Announce applies a heartbeat of a target. It fails without changing the targets when the heartbeat is invalid or
// older than one that arrived before.
func (a *Agent) Announce(h Announcement) error {
	body := announcement{Service: h.Service, ID: h.ID, Incarnation: h.Incarnation, Address: h.Address, Slots: h.Slots}
	if err := body.validate(); err != nil {
		return err
	}
	if a.config.SingleTarget && !a.replacePrevious(body) {
		return ErrStaleHeartbeat
	}
	if a.withdrawals.contains(model.TargetRef{Service: h.Service, ID: h.ID, Incarnation: h.Incarnation}) {
		return ErrStaleHeartbeat
	}
	known := a.registry.find(h.Service, h.ID)
	if known != nil && known.target.Ref.Incarnation == h.Incarnation && h.Sequence < known.shared.sequence.Load() {
		return ErrStaleHeartbeat
	}
	spec, _ := a.serviceSpec(h.Service)
	if err := a.applyAnnouncement(body, spec, h); !errors.Is(err, errStale) {
		return err
	}
	return ErrStaleHeartbeat
}

// applyAnnouncement updates an announced target and publishes changes.
func (a *Agent) applyAnnouncement(body announcement, spec model.ServiceSpec, h Announcement) error {
	changed, err := a.registry.announce(a.newLocalTarget(body, spec), a.config.Clock.Now())
	if err != nil {
		return err
	}
	l := a.registry.find(body.Service, body.ID)
	if l == nil {
		return errUnknown // It was withdrawn meanwhile.
	}
	l.shared.sequence.Store(h.Sequence)
	if !a.config.DisableLivenessConns {
		l.shared.liveness.start()
	}
	if (h.Draining || a.withdrawals.wasDraining(l.target.Ref)) && !l.shared.draining.Swap(true) {
		changed = true
	}
	if changed {
		_ = level.Info(a.config.Logger).Log("msg", "target announced", "service", body.Service, "target", body.ID, "incarnation", body.Incarnation,
			"address", body.Address, "slots", body.Slots, "draining", h.Draining, "sequence", h.Sequence)
		a.publish()
	}
	return nil
}

// Withdraw removes a target that has deregistered; an unknown target is not an error.
func (a *Agent) Withdraw(service, id string) {
	for _, l := range a.registry.all() {
		if l.target.Ref.ID != id || service != "" && l.target.Ref.Service != service {
			continue
		}
		a.withdrawals.add(l.target.Ref)
		if a.registry.withdraw(l.key()) == nil {
			_ = level.Info(a.config.Logger).Log("msg", "target withdrawn", "service", l.target.Ref.Service, "target", id)
			a.publish()
		}
	}
}

// Withdrawn returns the latest targets that have been withdrawn.
func (a *Agent) Withdrawn() []model.TargetRef {
	a.withdrawals.mu.Lock()
	defer a.withdrawals.mu.Unlock()
	return slices.Clone(a.withdrawals.refs)
}

// RestoredDraining returns the targets that were draining under an earlier process of this node.
func (a *Agent) RestoredDraining() []model.TargetRef {
	a.withdrawals.mu.Lock()
	defer a.withdrawals.mu.Unlock()
	return slices.Clone(a.withdrawals.draining)
}

// Restore restores what an earlier process of this node knew about its targets, so that a delayed heartbeat does not
// undo it after a restart.
func (a *Agent) Restore(draining, gone []model.TargetRef) {
	for _, ref := range gone {
		if !a.withdrawals.contains(ref) {
			a.withdrawals.add(ref)
		}
	}
	a.withdrawals.mu.Lock()
	a.withdrawals.draining = slices.Clone(draining[max(0, len(draining)-maxWithdrawn):])
	a.withdrawals.mu.Unlock()
	for _, l := range a.registry.all() {
		switch ref := l.target.Ref; {
		case slices.Contains(gone, ref):
			a.removeTarget(l, "it was withdrawn before the node restarted")
		case slices.Contains(draining, ref) && !l.shared.draining.Swap(true):
			a.publish()
		}
	}
}

// replacePrevious removes the targets that preceded the announced one; it returns false when a later one is registered.
func (a *Agent) replacePrevious(body announcement) bool {
	for _, l := range a.registry.all() {
		ref := l.target.Ref
		if ref.Service == body.Service && ref.ID == body.ID {
			continue
		}
		if ref.Incarnation > body.Incarnation {
			return false
		}
		a.removeTarget(l, "a newer target runs on this VM")
	}
	return true
}

func (g *withdrawals) add(ref model.TargetRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refs) == maxWithdrawn {
		g.refs = slices.Delete(g.refs, 0, 1)
	}
	g.refs = append(g.refs, ref)
}

func (g *withdrawals) wasDraining(ref model.TargetRef) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.draining, ref)
}

func (g *withdrawals) contains(ref model.TargetRef) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.refs, ref)
}
