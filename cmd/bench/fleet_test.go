package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// episode is a fault between two moments.
type episode struct {
	from, to time.Duration
	target   int
	node     int
	serveF   func(f *fleet, usual behaviour, class string) behaviour
}

// episodes are faults that come together, overlap and repeat; a target of -1 means all, a node of -1 no path.
type episodes []episode

func (e episodes) active(f *fleet, yield func(episode) bool) bool {
	for _, one := range e {
		if f.elapsed() >= one.from && f.elapsed() < one.to && yield(one) {
			return true
		}
	}
	return false
}

func (e episodes) serve(f *fleet, target int, usual behaviour, class string) behaviour {
	e.active(f, func(one episode) bool {
		if one.serveF != nil && (one.target < 0 || one.target == target) {
			usual = one.serveF(f, usual, class)
		}
		return false
	})
	return usual
}

func (e episodes) pathUp(f *fleet, from, to model.NodeRef) bool {
	return !e.active(f, func(one episode) bool {
		return one.serveF == nil && from == f.nodes[one.node].model.Ref && to == f.nodes[one.target].model.Ref
	})
}

func randomEpisodes(rng *rand.Rand) episodes {
	var list episodes
	names := []string{"stalled", "slow", "erroring", "half-erroring", "flapping", "probe-answering"}
	for range 1 + rng.IntN(6) {
		one := episode{from: time.Duration(rng.IntN(60)) * time.Second, target: rng.IntN(targetCount), node: rng.IntN(targetCount + plainNodes)}
		one.to = one.from + time.Duration(1+rng.IntN(30))*time.Second
		switch rng.IntN(4) {
		case 0:
		case 1:
			one.target, one.serveF = -1, commonFaults[[]string{"shared-slow", "store-outage"}[rng.IntN(2)]]
		default:
			one.serveF = targetFaults[names[rng.IntN(len(names))]]
		}
		list = append(list, one)
	}
	return list
}

// Guards against a floor that any mix of faults breaks at any chooser, and against targets that stay out after the
// faults have ended, with many requests and with few. A failed invariant panics in tests.
func TestFleetUnderMixedFaults(t *testing.T) {
	for seed := range uint64(12) {
		for _, load := range []float64{0.3, 0.01} {
			t.Run(fmt.Sprintf("seed %d load %v", seed, load), func(t *testing.T) {
				t.Parallel()
				d := deployments[seed%2]
				faults := randomEpisodes(rand.New(rand.NewPCG(seed, 7)))
				f := newFleet(fleetConfig{deployment: d, policy: newModules, fault: faults, load: load, seed: seed})
				for f.elapsed() < 90*time.Second {
					f.runUntil(f.now.Add(200 * time.Millisecond))
					for _, n := range f.nodes {
						requireFloor(t, f, n)
					}
				}
				f.runUntil(f.start.Add(10 * time.Minute))
				for _, n := range f.nodes {
					for i := range f.targets {
						require.False(t, n.policy.out(i), "node %d, target %d, faults %+v", n.index, i, faults)
					}
				}
			})
		}
	}
}

func requireFloor(t *testing.T, f *fleet, n *node) {
	slots := 0
	for i := range f.targets {
		if !n.policy.out(i) {
			slots += f.deployment.slots
		}
	}
	require.GreaterOrEqual(t, slots, f.deployment.spec().FloorSlots)
}

// Guards against an experiment that gives other figures for the same seed.
func TestSameSeedSameFigures(t *testing.T) {
	run := func() (counts, int) {
		ejections := 0
		f := newFleet(fleetConfig{
			deployment: deployments[1], policy: newModules, load: 0.5, seed: 3,
			fault: targetFault{target: 3, onset: 5 * time.Second, serveF: targetFaults["half-erroring"]},
		})
		f.onEject = func(int, int) { ejections++ }
		f.runUntil(f.start.Add(20 * time.Second))
		return f.counts, ejections
	}
	first, ejected := run()
	second, again := run()
	require.Equal(t, first, second)
	require.Equal(t, ejected, again)
	require.Positive(t, ejected)
}

// Guards against goodput or retries beyond the bounds of the design at twice the capacity.
func TestOverloadKeepsTheBounds(t *testing.T) {
	for _, d := range deployments {
		f := newFleet(fleetConfig{deployment: d, policy: newModules, fault: noFault{}, load: 2, deadline: time.Second, seed: 1})
		f.runUntil(f.start.Add(10 * time.Second))
		before := f.counts
		f.runUntil(f.now.Add(10 * time.Second))
		first := f.counts.requests - before.requests
		require.Greater(t, float64(f.counts.done-before.done), 0.9*float64(first)/2)
		require.LessOrEqual(t, f.counts.retries, f.counts.requests/10+retryBurst*len(f.nodes))
	}
}

// Guards against the edge taking a refusal for evidence.
func TestRefusalsAreNoEvidence(t *testing.T) {
	f := newFleet(fleetConfig{deployment: deployments[1], policy: newModules, fault: noFault{}, load: 3, deadline: time.Second, seed: 1})
	f.onEject = func(edge, target int) { t.Errorf("edge %d ejected target %d under overload", edge, target) }
	f.runUntil(f.start.Add(20 * time.Second))
	require.Equal(t, eject.StateHealthy, f.nodes[0].policy.(*modules).eject.Snapshot().Verdict(f.targets[0].model.Ref).State)
}
