package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/limit"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ticksPerRound is the number of judgements of one round: half a second.
const ticksPerRound = 10

// referenceBytes are hashed for a figure that depends on the machine only.
const referenceBytes = 1 << 20

// scaleFigures collects slopes by name in the order of their first sample.
type scaleFigures struct {
	list []*slope
	// loop is the processor time of an interval without any load, in microseconds.
	loop float64
}

func (f *scaleFigures) add(name, unit, per string, size int, value float64) {
	for _, s := range f.list {
		if s.name == name {
			s.samples = append(s.samples, sample{float64(size), value})
			return
		}
	}
	f.list = append(f.list, &slope{name: name, unit: unit, per: per, samples: []sample{{float64(size), value}}})
}

func (f *scaleFigures) get(name string) slope {
	for _, s := range f.list {
		if s.name == name {
			return *s
		}
	}
	return slope{name: name, samples: []sample{{}}}
}

func (f *scaleFigures) slopes() []slope {
	out := make([]slope, len(f.list))
	for i, s := range f.list {
		out[i] = *s
	}
	return out
}

// Names of the figures that the budgets use.
const (
	figureReference = "reference: SHA-256"
	figureSnapshot  = "copy of the records after a change"
	figureReaders   = "choice of the ticket readers"
	figureView      = "whole view from records and configuration"
	figureRoutes    = "route table from the configuration"
	figureEdgeTick  = "tick of the edge's detection, busy"
	figureAgentTick = "tick of the agent's detection, busy"
	figureIdleTick  = "tick of the edge's detection, idle"
	heapRecords     = "records of the membership"
	heapView        = "view"
	heapEdge        = "edge's detection"
	heapAgent       = "agent's detection"
	heapPicker      = "choice of targets"
	heapRoutes      = "configuration and route table"
	heapCells       = "observed pairs of target and route"
	heapAccounts    = "limiter after requests of many accounts"
)

// figureChange names the cost of a change for view, detection and choice of targets together.
func figureChange(change string) string {
	return map[string]string{
		changeRecord: "change: one node restarts", changeRack: "change: a rack of 25 nodes leaves or comes",
		changeTicket: "change: ticket for one service", changeClaim: "change: one claim",
	}[change]
}

// measureScale measures what one node of fleets of several sizes computes and keeps.
func measureScale() (*scaleFigures, error) {
	f := &scaleFigures{loop: intervalCost(func() {})}
	block := make([]byte, referenceBytes)
	f.add(figureReference, "µs", "MiB", 1, cost(func() { sha256.Sum256(block) }))
	for _, nodes := range scaleSizes {
		f.measureMembership(nodes)
		f.measureChanges(nodes)
	}
	for _, routes := range []int{designServices, designRoutes / 4, designRoutes} {
		if err := f.measureRoutes(routes); err != nil {
			return nil, err
		}
	}
	for _, cells := range []int{designTargets / 10, designTargets, designTargets * routesPerService} {
		f.measureTick(cells)
	}
	f.measureAgentTick()
	for _, accounts := range []int{100, 1000, designAccounts} {
		if err := f.measureAccounts(accounts); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *scaleFigures) measureMembership(nodes int) {
	members, kept := heapOf(func() *member.Module { return scaledMembers(nodes) })
	f.add(heapRecords, "kB of heap", "nodes", nodes, kept)
	configuration := scaledConfiguration(designRoutes)
	snapshot, self := members.Snapshot(), scaledNode(0)
	now, number := time.Unix(1_700_000_100, 0), uint64(1)
	f.add(figureSnapshot, "µs", "nodes", nodes, cost(func() {
		now, number = now.Add(time.Second), number+1
		members.Update(member.LocalMsg{Now: now, Local: member.LocalState{Ticket: number, Targets: snapshot.Records[0].Targets}})
		members.Snapshot()
	}))
	list := nodesOf(snapshot)
	f.add(figureReaders, "µs", "nodes", nodes, cost(func() { ticket.IsReader(self, list) }))
	v, kept := heapOf(func() *view.View { return viewOf(self, configuration, snapshot) })
	f.add(heapView, "kB of heap", "nodes", nodes, kept)
	f.add(figureView, "µs", "nodes", nodes, cost(func() { viewOf(self, configuration, snapshot) }))
	f.measureDetection(nodes, v)
	_, kept = heapOf(func() *picker.Picker {
		p := picker.New(picker.Config{Health: idleTracker(eject.ObserverEdge)})
		p.SetView(v)
		return p
	})
	f.add(heapPicker, "kB of heap", "nodes", nodes, kept)
}

// measureChanges measures the work after a change and after its undoing, in turns.
func (f *scaleFigures) measureChanges(nodes int) {
	for _, c := range fleetChanges(nodes) {
		r, n := newRebuilder(false), 0
		f.add(figureChange(c.name), "µs", "nodes", nodes, cost(func() {
			r.apply(c.states[n%2])
			n++
		}))
		r.close()
	}
}

// idleTracker has a clock that stands still, so that no tick disturbs a measurement.
func idleTracker(o eject.Observer) *eject.Tracker {
	return eject.NewTracker(eject.TrackerConfig{Config: eject.Config{Observer: o}, Clock: timer.NewManual(time.Unix(1_700_000_000, 0))})
}

func (f *scaleFigures) measureDetection(nodes int, v *view.View) {
	for _, o := range []struct {
		observer eject.Observer
		heap     string
	}{{eject.ObserverEdge, heapEdge}, {eject.ObserverAgent, heapAgent}} {
		tracker, kept := heapOf(func() *eject.Tracker {
			t := idleTracker(o.observer)
			t.SetView(v)
			return t
		})
		f.add(o.heap, "kB of heap", "nodes", nodes, kept)
		tracker.Close()
	}
}

func (f *scaleFigures) measureRoutes(routes int) error {
	type built struct {
		configuration *model.Configuration
		table         *router.Table
	}
	var failed error
	b, kept := heapOf(func() built {
		b := built{configuration: scaledConfiguration(routes)}
		b.table, failed = router.New(b.configuration)
		return b
	})
	if failed != nil {
		return failed
	}
	f.add(heapRoutes, "kB of heap", "routes", routes, kept)
	f.add(figureRoutes, "µs", "routes", routes, cost(func() { _, _ = router.New(b.configuration) }))
	return nil
}

// measureTick observes the tracker of an edge in real time after it has seen a number of pairs of target and route.
func (f *scaleFigures) measureTick(cells int) {
	members := scaledMembers(designNodes)
	v := viewOf(scaledNode(0), scaledConfiguration(designRoutes), members.Snapshot())
	tracker := eject.NewTracker(eject.TrackerConfig{Config: eject.Config{Observer: eject.ObserverEdge}, Clock: timer.NewReal()})
	defer tracker.Close()
	tracker.SetView(v)
	requests := pairsOf(v, cells, func(view.Candidate) bool { return true })
	_, kept := heapOf(func() *eject.Tracker {
		for _, r := range requests {
			tracker.Start(r).Finish(eject.Result{Kind: eject.KindOK})
		}
		time.Sleep(4 * judgeInterval)
		return tracker
	})
	f.add(heapCells, "kB of heap", "pairs", cells, kept)
	f.add(figureIdleTick, "µs", "pairs", cells, f.tickCost(func() {}))
	f.add(figureEdgeTick, "µs", "pairs", cells, f.tickCost(busyLoad(tracker, requests)))
}

// measureAgentTick observes the tracker of an agent whose targets serve the requests of one node.
func (f *scaleFigures) measureAgentTick() {
	self := scaledNode(0)
	v := viewOf(self, scaledConfiguration(designRoutes), scaledMembers(designNodes).Snapshot())
	tracker := eject.NewTracker(eject.TrackerConfig{Config: eject.Config{Observer: eject.ObserverAgent}, Clock: timer.NewReal()})
	defer tracker.Close()
	tracker.SetView(v)
	cells := designTargets / designNodes * routesPerService
	requests := pairsOf(v, cells, func(c view.Candidate) bool { return c.Node.Ref == self.Ref })
	f.add(figureAgentTick, "µs", "pairs", cells, f.tickCost(busyLoad(tracker, requests)))
}

// pairsOf returns pairs of target and route, each target once before any twice.
func pairsOf(v *view.View, count int, wanted func(view.Candidate) bool) []eject.Request {
	var requests []eject.Request
	for class := 0; len(requests) < count; class++ {
		for _, s := range v.Services {
			for _, c := range s.Candidates {
				if wanted(c) {
					requests = append(requests, eject.Request{Target: c.Target.Ref, Class: fmt.Sprintf("route-%02d", class), Idempotent: true})
				}
			}
		}
	}
	return requests[:count]
}

// busyLoad reports the requests that one node has in one interval of judgement.
func busyLoad(tracker *eject.Tracker, requests []eject.Request) func() {
	next := 0
	return func() {
		for range int(math.Round(requestsPerNode * judgeInterval.Seconds())) {
			next = (next + 7919) % len(requests)
			tracker.Start(requests[next]).Finish(eject.Result{Kind: eject.KindOK})
		}
	}
}

// tickCost returns the processor time of the process per interval of judgement, in microseconds. The time of the
// measuring loop without any tracker is taken out.
func (f *scaleFigures) tickCost(load func()) float64 {
	return max(0, intervalCost(load)-f.loop)
}

func intervalCost(load func()) float64 {
	rounds := make([]float64, costRounds)
	for i := range rounds {
		runtime.GC()
		begin := processorTime()
		for range ticksPerRound {
			load()
			time.Sleep(judgeInterval)
		}
		rounds[i] = float64((processorTime() - begin).Nanoseconds()) / 1000 / ticksPerRound
	}
	slices.Sort(rounds)
	return rounds[costRounds/2]
}

func (f *scaleFigures) measureAccounts(accounts int) error {
	var failed error
	_, kept := heapOf(func() *limit.Limiter {
		l := limit.New(limit.Config{Settings: limit.Settings{Slots: designSlots, Places: designSlots}})
		for i := range accounts {
			permit, err := l.Acquire(context.Background(), limit.Request{Account: fmt.Sprintf("account-%05d", i)})
			if err != nil {
				failed = err
				return l
			}
			permit.Release(limit.Result{OK: true})
		}
		return l
	})
	f.add(heapAccounts, "kB of heap", "accounts", accounts, kept)
	return failed
}
