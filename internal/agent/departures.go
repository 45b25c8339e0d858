package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxDepartures bounds the withdrawn and the draining targets that are remembered; a VM has one target at a time.
	maxDepartures = 16
	// withdrawalRepeat is the time in which a target repeats a deregistration that was not acknowledged.
	withdrawalRepeat = 10 * time.Second
)

// departures are the latest targets that were withdrawn or that drain, so that a delayed heartbeat does not make them
// serve again. They outlive the registration of the target and, with the row of the node, its process.
type departures struct {
	mu        sync.Mutex
	withdrawn []withdrawal
	draining  []model.TargetRef
	// earlier are the targets that the previous process of this node had registered.
	earlier []model.TargetRef
}

// withdrawal is a target that was withdrawn; at is zero if that was under an earlier process.
type withdrawal struct {
	model.TargetRef
	at time.Time
}

// restore takes what the previous process knew. A target that has deregistered before this was known is withdrawn under
// the incarnation that the previous process had registered.
func (d *departures) restore(e EarlierTargets, now time.Time) {
	d.mu.Lock()
	d.earlier = e.Registered
	d.mu.Unlock()
	for _, ref := range e.Withdrawn {
		d.addWithdrawn(ref, time.Time{})
	}
	for _, ref := range e.Draining {
		d.addDraining(ref)
	}
	for _, ref := range e.Registered {
		if d.withdrawnSince(ref.Service, ref.ID, now.Add(-withdrawalRepeat)) {
			d.addWithdrawn(ref, now)
		}
	}
}

// earlierTargets returns the targets with the ID that the previous process had registered; an empty service matches all.
func (d *departures) earlierTargets(service, id string) []model.TargetRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	var refs []model.TargetRef
	for _, ref := range d.earlier {
		if ref.ID == id && (service == "" || ref.Service == service) {
			refs = append(refs, ref)
		}
	}
	return refs
}

func (d *departures) addWithdrawn(ref model.TargetRef, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.withdrawn {
		if w := &d.withdrawn[i]; w.TargetRef == ref {
			if at.After(w.at) {
				w.at = at
			}
			return
		}
	}
	d.withdrawn = append(latestOf(d.withdrawn), withdrawal{TargetRef: ref, at: at})
}

func (d *departures) addDraining(ref model.TargetRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.draining, ref) {
		d.draining = append(latestOf(d.draining), ref)
	}
}

// isWithdrawn reports whether this or a later incarnation of the target was withdrawn, under its service or an unknown one.
func (d *departures) isWithdrawn(ref model.TargetRef) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.withdrawn, func(w withdrawal) bool {
		return w.ID == ref.ID && (w.Service == "" || w.Service == ref.Service) && ref.Incarnation <= w.Incarnation
	})
}

// withdrawnSince reports whether a target was withdrawn after the time; an empty service matches all.
func (d *departures) withdrawnSince(service, id string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.withdrawn, func(w withdrawal) bool {
		return w.ID == id && (service == "" || w.Service == "" || w.Service == service) && w.at.After(since)
	})
}

func (d *departures) isDraining(ref model.TargetRef) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.draining, ref)
}

// latestOf returns the latest entries, so that one more fits within maxDepartures.
func latestOf[T any](entries []T) []T {
	return entries[max(0, len(entries)+1-maxDepartures):]
}
