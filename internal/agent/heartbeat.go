package agent

import (
	"errors"
	"slices"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Errors that refuse a heartbeat.
var (
	// ErrStaleHeartbeat refuses a heartbeat older than a message that has already arrived; the sender need not act.
	ErrStaleHeartbeat = eris.New("stale heartbeat: a newer message of this target or of its replacement has arrived")
	// ErrNotStored refuses to acknowledge that a target leaves, because the next process of the node would not know.
	ErrNotStored = eris.New("the store has not confirmed that the target leaves; send the message again")
)

// Announce applies a heartbeat of a target. It fails without changing the targets when the heartbeat is invalid or
// older than one that arrived before.
func (a *Agent) Announce(h Announcement) error {
	body := announcement{Service: h.Service, ID: h.ID, Incarnation: h.Incarnation, Address: h.Address, Slots: h.Slots}
	if err := body.validate(); err != nil {
		return err
	}
	ref := model.TargetRef{Service: h.Service, ID: h.ID, Incarnation: h.Incarnation}
	if a.config.SingleTarget && !a.replacePrevious(body) {
		if h.Draining { // The sender takes the response for an acknowledgement, and the target that replaced it may end.
			a.departures.addWithdrawn(ref, a.config.Clock.Now())
		}
		return ErrStaleHeartbeat
	}
	if a.departures.isWithdrawn(ref) {
		return ErrStaleHeartbeat
	}
	if a.supplanted.holds(ref, h.Sequence, a.config.Clock.Now()) {
		if h.Draining {
			a.departures.addDraining(ref)
		}
		return ErrStaleHeartbeat
	}
	a.supplant(ref, h)
	known := a.registry.find(h.Service, h.ID)
	if known != nil && known.target.Ref.Incarnation == h.Incarnation && h.Sequence < known.shared.sequence.Load() {
		if h.Draining { // Draining is final, so that the order of the heartbeats does not matter.
			a.startDraining(known)
		}
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
	previous := a.registry.find(body.Service, body.ID)
	changed, err := a.registry.announce(a.newLocalTarget(body, spec), a.config.Clock.Now())
	if err != nil {
		return err
	}
	if previous != nil && previous.target.Ref.Incarnation < body.Incarnation {
		a.reportReplaced(previous)
	}
	l := a.registry.find(body.Service, body.ID)
	if l == nil {
		return errUnknown // It was withdrawn meanwhile.
	}
	l.shared.sequence.Store(h.Sequence)
	if !a.config.DisableLivenessConns {
		l.shared.liveness.start()
	}
	if (h.Draining || a.departures.isDraining(l.target.Ref)) && a.markDraining(l) {
		changed = true
	}
	if changed {
		_ = level.Info(a.config.Logger).Log("msg", "target announced", "service", body.Service, "target", body.ID, "incarnation", body.Incarnation,
			"address", body.Address, "slots", body.Slots, "draining", h.Draining, "sequence", h.Sequence)
		a.publish()
	}
	return nil
}

// markDraining marks a target as draining and reports whether that changed its state.
func (a *Agent) markDraining(l *localTarget) (changed bool) {
	a.departures.addDraining(l.target.Ref)
	return !l.shared.draining.Swap(true)
}

// drain marks a target as draining and reports whether that changed its state; it fails with errUnknown.
func (a *Agent) drain(key targetKey) (changed bool, err error) {
	l := a.registry.find(key.service, key.id)
	if l == nil {
		return false, errUnknown
	}
	return a.markDraining(l), nil
}

// startDraining marks a target as draining and publishes a change.
func (a *Agent) startDraining(l *localTarget) {
	if a.markDraining(l) {
		a.publish()
	}
}

// Withdraw removes a target that has deregistered. It reports whether the target was known; it also is if the
// deregistration repeats an earlier one.
func (a *Agent) Withdraw(service, id string) (known bool) {
	now := a.config.Clock.Now()
	for _, ref := range a.departures.earlierTargets(service, id) {
		known = true
		a.departures.addWithdrawn(ref, now)
	}
	if ref := a.supplanted.get(); ref.ID == id && (service == "" || ref.Service == service) {
		known = true
		a.departures.addWithdrawn(ref, now)
	}
	for _, l := range a.registry.all() {
		if l.target.Ref.ID != id || service != "" && l.target.Ref.Service != service {
			continue
		}
		known = true
		a.departures.addWithdrawn(l.target.Ref, now)
		if a.registry.withdraw(l.key()) == nil {
			_ = level.Info(a.config.Logger).Log("msg", "target withdrawn", "service", l.target.Ref.Service, "target", id)
			a.publish()
		}
	}
	return known || a.departures.withdrawnSince(service, id, now.Add(-withdrawalRepeat))
}

// WithdrawUnknown records that a target has deregistered of which this process has had no heartbeat. It applies to the
// incarnations up to the given one.
func (a *Agent) WithdrawUnknown(service, id string, incarnation uint64) {
	a.departures.addWithdrawn(model.TargetRef{Service: service, ID: id, Incarnation: incarnation}, a.config.Clock.Now())
	_ = level.Info(a.config.Logger).Log("msg", "unknown target withdrawn", "service", service, "target", id, "incarnation", incarnation)
	for _, l := range a.registry.all() {
		if a.departures.isWithdrawn(l.target.Ref) { // Its first heartbeat has arrived meanwhile.
			a.removeTarget(l, "it was withdrawn")
		}
	}
}

// Withdrawn returns the latest targets that have been withdrawn. The service is empty where it was unknown.
func (a *Agent) Withdrawn() []model.TargetRef {
	a.departures.mu.Lock()
	defer a.departures.mu.Unlock()
	refs := make([]model.TargetRef, 0, len(a.departures.withdrawn))
	for _, w := range a.departures.withdrawn {
		refs = append(refs, w.TargetRef)
	}
	return refs
}

// Draining returns the latest targets that were draining, under this process or an earlier one.
func (a *Agent) Draining() []model.TargetRef {
	a.departures.mu.Lock()
	defer a.departures.mu.Unlock()
	return slices.Clone(a.departures.draining)
}

// EarlierTargets is what an earlier process of the node knew about its targets.
type EarlierTargets struct {
	Registered, Draining, Withdrawn []model.TargetRef
}

// Restore restores what an earlier process of this node knew about its targets, so that a delayed heartbeat does not
// undo it after a restart.
func (a *Agent) Restore(earlier EarlierTargets) {
	a.departures.restore(earlier, a.config.Clock.Now())
	for _, l := range a.registry.all() {
		switch ref := l.target.Ref; {
		case a.departures.isWithdrawn(ref):
			a.removeTarget(l, "it was withdrawn before the node restarted")
		case a.departures.isDraining(ref):
			a.startDraining(l)
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
		a.reportReplaced(l)
		a.removeTarget(l, "a newer target runs on this VM")
	}
	return true
}
