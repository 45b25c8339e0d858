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

// Model describes a transition system. Its methods are called concurrently and must not modify states.
type Model[S any] interface {
	// Initial returns the initial state.
	Initial() S
	// Next calls visit for every successor of the state; label is only called if the step has to be described.
	Next(s S, visit func(label func() string, next S))
	// Fingerprint returns the fingerprint of the state.
	Fingerprint(s S) Fingerprint
	// Check describes the property that the state violates, or returns an empty string.
	Check(s S) string
}

// Options bound a search; the zero value explores all reachable states on all cores.
type Options struct {
	Workers int
	// MaxStates ends the search after this number of states, which also bounds its memory; zero means no limit.
	MaxStates int
}

// Violation is a shortest sequence of steps to a state that fails its check.
type Violation struct {
	Problem string
	Steps   []string
}

// Result describes a finished search.
type Result struct {
	States      int
	Transitions int
	Depth       int
	// Complete is true if every reachable state was explored.
	Complete  bool
	Elapsed   time.Duration
	Violation *Violation
}

const stripes = 64

// visited is the set of reached states, divided into stripes with one lock each to reduce contention.
type visited struct {
	stripes [stripes]stripe
}

type stripe struct {
	mu sync.Mutex
	// parents maps each reached state to the state from which it was first reached.
	parents map[Fingerprint]Fingerprint
}

type explorer[S any] struct {
	model       Model[S]
	options     Options
	visited     visited
	states      atomic.Int64
	transitions atomic.Int64
	mu          sync.Mutex
	violating   *violatingState
}

// violatingState is the violating state of a level with the lowest fingerprint, so that the reported state does not
// depend on the scheduling of the workers.
type violatingState struct {
	fingerprint Fingerprint
	problem     string
}

// Explore searches the reachable states breadth first and stops after the level of the first violation.
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
	x.addState(first, Fingerprint{})
	frontier, depth := []S{first}, 0
	for len(frontier) > 0 && x.violating == nil && !x.limitReached() {
		frontier = x.expandLevel(frontier)
		depth++
	}
	return Result{
		States:      int(x.states.Load()),
		Transitions: int(x.transitions.Load()),
		Depth:       depth,
		Complete:    len(frontier) == 0 && !x.limitReached(),
		Elapsed:     time.Since(start),
		Violation:   x.violation(),
	}
}

func (x *explorer[S]) limitReached() bool {
	return x.options.MaxStates > 0 && int(x.states.Load()) >= x.options.MaxStates
}

// expandLevel expands all states of the frontier and returns the next frontier.
func (x *explorer[S]) expandLevel(frontier []S) []S {
	const chunk = 64
	var cursor atomic.Int64
	parts := make([][]S, x.options.Workers)
	var wg conc.WaitGroup
	for w := range x.options.Workers {
		wg.Go(func() {
			for {
				end := int(cursor.Add(chunk))
				if end-chunk >= len(frontier) || x.limitReached() {
					return
				}
				for _, s := range frontier[end-chunk : min(end, len(frontier))] {
					parts[w] = x.expandState(s, parts[w])
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

func (x *explorer[S]) expandState(s S, out []S) []S {
	parent := x.model.Fingerprint(s)
	x.model.Next(s, func(_ func() string, next S) {
		x.transitions.Add(1)
		if x.addState(next, parent) {
			out = append(out, next)
		}
	})
	return out
}

// addState records a reached state and reports whether it is new.
func (x *explorer[S]) addState(s S, parent Fingerprint) bool {
	p := x.model.Fingerprint(s)
	if !x.visited.add(p, parent) {
		return false
	}
	x.states.Add(1)
	if problem := x.model.Check(s); problem != "" {
		x.report(violatingState{fingerprint: p, problem: problem})
	}
	return true
}

func (x *explorer[S]) report(f violatingState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.violating == nil || f.fingerprint[0] < x.violating.fingerprint[0] {
		x.violating = &f
	}
}

// violation follows the parents back to the initial state and replays the steps to label them.
func (x *explorer[S]) violation() *Violation {
	if x.violating == nil {
		return nil
	}
	s := x.model.Initial()
	first := x.model.Fingerprint(s)
	path := []Fingerprint{}
	for p := x.violating.fingerprint; p != first; p = x.visited.parent(p) {
		path = append(path, p)
	}
	v := &Violation{Problem: x.violating.problem}
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

// String returns the problem and the steps that lead to it.
func (v *Violation) String() string {
	return fmt.Sprintf("%s:\n  %s", v.Problem, strings.Join(v.Steps, "\n  "))
}

// String returns a one-line summary.
func (r Result) String() string {
	return fmt.Sprintf("states %d, transitions %d, depth %d, complete %t, %.1f s, %.0f states/s",
		r.States, r.Transitions, r.Depth, r.Complete, r.Elapsed.Seconds(), float64(r.States)/r.Elapsed.Seconds())
}
