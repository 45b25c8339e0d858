package agent

import (
	"errors"
	"slices"
	"sync"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxGoodbyes bounds the targets whose goodbye is remembered; a VM has one target at a time.
const maxGoodbyes = 16

// goodbyes are the latest targets that have said goodbye, so that a late heartbeat does not bring them back.
type goodbyes struct {
	mu   sync.Mutex
	refs []model.TargetRef
	// draining are those that an earlier process of this node knew as draining.
	draining []model.TargetRef
}

// ErrStaleHeartbeat refuses what a target said before something that arrived earlier; there is nothing to correct.
var ErrStaleHeartbeat = eris.New("a later word of this target, or of the one that replaced it, has arrived")

// Announce takes a heartbeat of a target. It fails when the heartbeat is invalid or older than one that arrived before; the
// targets stay as they are then.
func (a *Agent) Announce(h Announcement) error {
	body := announcement{Service: h.Service, ID: h.ID, Incarnation: h.Incarnation, Address: h.Address, Slots: h.Slots}
	if err := body.validate(); err != nil {
		return err
	}
	if a.config.SingleTarget && !a.replacePrevious(body) {
		return ErrStaleHeartbeat
	}
	if a.goodbyes.has(model.TargetRef{Service: h.Service, ID: h.ID, Incarnation: h.Incarnation}) {
		return ErrStaleHeartbeat
	}
	known := a.registry.find(h.Service, h.ID)
	if known != nil && known.target.Ref.Incarnation == h.Incarnation && h.Sequence < known.shared.sequence.Load() {
		return ErrStaleHeartbeat
	}
	spec, _ := a.service(h.Service)
	if err := a.take(body, spec, h); !errors.Is(err, errStale) {
		return err
	}
	return ErrStaleHeartbeat
}

// take brings an announced target up to date and publishes what changed.
func (a *Agent) take(body announcement, spec model.ServiceSpec, h Announcement) error {
	changed, err := a.registry.announce(a.newLocal(body, spec), a.config.Clock.Now())
	if err != nil {
		return err
	}
	l := a.registry.find(body.Service, body.ID)
	if l == nil {
		return errUnknown // It was withdrawn meanwhile.
	}
	l.shared.sequence.Store(h.Sequence)
	if !a.config.DisableLivenessConns {
		l.shared.sentinel.start()
	}
	if (h.Draining || a.goodbyes.drains(l.target.Ref)) && !l.shared.draining.Swap(true) {
		changed = true
	}
	if changed {
		_ = level.Info(a.config.Logger).Log("msg", "target announced", "service", body.Service, "target", body.ID, "incarnation", body.Incarnation,
			"address", body.Address, "slots", body.Slots, "draining", h.Draining, "sequence", h.Sequence)
		a.publish()
	}
	return nil
}

// Withdraw removes a target that has said goodbye; one that is not known is no error.
func (a *Agent) Withdraw(service, id string) {
	for _, l := range a.registry.all() {
		if l.target.Ref.ID != id || service != "" && l.target.Ref.Service != service {
			continue
		}
		a.goodbyes.add(l.target.Ref)
		if a.registry.withdraw(l.key()) == nil {
			_ = level.Info(a.config.Logger).Log("msg", "target withdrawn", "service", l.target.Ref.Service, "target", id)
			a.publish()
		}
	}
}

// Withdrawn returns the latest targets that have said goodbye.
func (a *Agent) Withdrawn() []model.TargetRef {
	a.goodbyes.mu.Lock()
	defer a.goodbyes.mu.Unlock()
	return slices.Clone(a.goodbyes.refs)
}

// RestoredDraining returns the targets that drained under an earlier process of this node.
func (a *Agent) RestoredDraining() []model.TargetRef {
	a.goodbyes.mu.Lock()
	defer a.goodbyes.mu.Unlock()
	return slices.Clone(a.goodbyes.draining)
}

// Restore takes what an earlier process of this node knew of its targets, so that a late heartbeat does not undo it after a
// restart.
func (a *Agent) Restore(draining, gone []model.TargetRef) {
	for _, ref := range gone {
		if !a.goodbyes.has(ref) {
			a.goodbyes.add(ref)
		}
	}
	a.goodbyes.mu.Lock()
	a.goodbyes.draining = slices.Clone(draining[max(0, len(draining)-maxGoodbyes):])
	a.goodbyes.mu.Unlock()
	for _, l := range a.registry.all() {
		switch ref := l.target.Ref; {
		case slices.Contains(gone, ref):
			a.targetGone(l, "it said goodbye before the node was restarted")
		case slices.Contains(draining, ref) && !l.shared.draining.Swap(true):
			a.publish()
		}
	}
}

// replacePrevious drops the targets that were here before the announced one; it returns false when a later one is here.
func (a *Agent) replacePrevious(body announcement) bool {
	for _, l := range a.registry.all() {
		ref := l.target.Ref
		if ref.Service == body.Service && ref.ID == body.ID {
			continue
		}
		if ref.Incarnation > body.Incarnation {
			return false
		}
		a.targetGone(l, "a later target runs on this VM")
	}
	return true
}

func (g *goodbyes) add(ref model.TargetRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refs) == maxGoodbyes {
		g.refs = slices.Delete(g.refs, 0, 1)
	}
	g.refs = append(g.refs, ref)
}

func (g *goodbyes) drains(ref model.TargetRef) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.draining, ref)
}

func (g *goodbyes) has(ref model.TargetRef) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.refs, ref)
}
