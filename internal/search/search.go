package search

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Model describes a transition system. The methods are called from several goroutines and must not modify states.
type Model[S any] interface {
	// Initial returns the state in which the search starts.
	Initial() S
	// Next calls visit for every state that one step reaches; the label is only needed when it is called.
	Next(s S, visit func(label func() string, next S))
	// Fingerprint identifies the state.
	Fingerprint(s S) Fingerprint
	// Check returns what is wrong with the state, or an empty string.
	Check(s S) string
}

// Options bound a search; the zero value explores everything on all cores.
type Options struct {
	Workers int
	// MaxStates ends the search when this number of states is reached, which also bounds its memory.
	MaxStates int
}

// Violation is a shortest sequence of steps that leads to a state that is wrong.
type Violation struct {
	Problem string
	Steps   []string
}

// Result tells what a search reached.
type Result struct {
	States      int
	Transitions int
	Depth       int
	// Complete is set when every reachable state was explored.
	Complete  bool
	Elapsed   time.Duration
	Violation *Violation
}

const stripes = 64

// visited is the set of reached states, divided into stripes with a lock each.
type visited struct {
	stripes [stripes]stripe
}

type stripe struct {
	mu sync.Mutex
	// parents holds, per reached state, the state from which it was reached first.
	parents map[Fingerprint]Fingerprint
}

type explorer[S any] struct {
	model       Model[S]
	options     Options
	visited     visited
	states      atomic.Int64
	transitions atomic.Int64
	mu          sync.Mutex
	bad         *found
}

// found is the first wrong state of a level in the order of prints, so that equal runs report the same one.
type found struct {
	print   Fingerprint
	problem string
}

// Explore visits the reachable states level by level and stops after the level of the first violation.
func Explore[S any](m Model[S], o Options) Result {
	if o.Workers == 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	x := &explorer[S]{model: m, options: o}
	for i := range x.visited.stripes {
		x.visited.stripes[i].parents = make(map[Fingerprint]Fingerprint)
	}
	start := time.Now()
	first := m.Initial()
	x.reach(first, Fingerprint{})
	frontier, depth := []S{first}, 0
	for len(frontier) > 0 && x.bad == nil && !x.full() {
		frontier = x.level(frontier)
		depth++
	}
	return Result{
		States:      int(x.states.Load()),
		Transitions: int(x.transitions.Load()),
		Depth:       depth,
		Complete:    len(frontier) == 0 && !x.full(),
		Elapsed:     time.Since(start),
		Violation:   x.violation(),
	}
}

func (x *explorer[S]) full() bool {
	return x.options.MaxStates > 0 && int(x.states.Load()) >= x.options.MaxStates
}

// level explores all states of the frontier and returns the next one.
func (x *explorer[S]) level(frontier []S) []S {
	const chunk = 64
	var cursor atomic.Int64
	parts := make([][]S, x.options.Workers)
	var wg conc.WaitGroup
	for w := range x.options.Workers {
		wg.Go(func() {
			for {
				end := int(cursor.Add(chunk))
				if end-chunk >= len(frontier) || x.full() {
					return
				}
				for _, s := range frontier[end-chunk : min(end, len(frontier))] {
					parts[w] = x.expand(s, parts[w])
				}
			}
		})
	}
	wg.Wait()
	var next []S
	for _, p := range parts {
		next = append(next, p...)
	}
	return next
}

func (x *explorer[S]) expand(s S, out []S) []S {
	parent := x.model.Fingerprint(s)
	x.model.Next(s, func(_ func() string, next S) {
		x.transitions.Add(1)
		if x.reach(next, parent) {
			out = append(out, next)
		}
	})
	return out
}

// reach reports whether the state is new.
func (x *explorer[S]) reach(s S, parent Fingerprint) bool {
	p := x.model.Fingerprint(s)
	if !x.visited.add(p, parent) {
		return false
	}
	x.states.Add(1)
	if problem := x.model.Check(s); problem != "" {
		x.report(found{print: p, problem: problem})
	}
	return true
}

func (x *explorer[S]) report(f found) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.bad == nil || f.print[0] < x.bad.print[0] {
		x.bad = &f
	}
}

// violation follows the parents back and repeats the steps to label them.
func (x *explorer[S]) violation() *Violation {
	if x.bad == nil {
		return nil
	}
	s := x.model.Initial()
	first := x.model.Fingerprint(s)
	path := []Fingerprint{}
	for p := x.bad.print; p != first; p = x.visited.parent(p) {
		path = append(path, p)
	}
	v := &Violation{Problem: x.bad.problem}
	for _, p := range slices.Backward(path) {
		found := false
		x.model.Next(s, func(label func() string, next S) {
			if !found && x.model.Fingerprint(next) == p {
				found, s = true, next
				v.Steps = append(v.Steps, label())
			}
		})
	}
	return v
}

func (v *visited) add(p, parent Fingerprint) bool {
	s := &v.stripes[p[0]%stripes]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.parents[p]; ok {
		return false
	}
	s.parents[p] = parent
	return true
}

func (v *visited) parent(p Fingerprint) Fingerprint {
	s := &v.stripes[p[0]%stripes]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parents[p]
}

// String lists the problem and the steps that lead to it.
func (v *Violation) String() string {
	return fmt.Sprintf("%s:\n  %s", v.Problem, strings.Join(v.Steps, "\n  "))
}

// String summarizes the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("states %d, transitions %d, depth %d, complete %t, %.1f s, %.0f states/s",
		r.States, r.Transitions, r.Depth, r.Complete, r.Elapsed.Seconds(), float64(r.States)/r.Elapsed.Seconds())
}
