package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// crashStatus is the exit status of a stand-in target that a marked request crashed.
	crashStatus = 70
	// maxPoisoned is the number of targets that one request may take down.
	maxPoisoned   = 2
	poisonCallers = 12
	// poisonWork is longer than the report of a crash takes, so that the trial still runs when the other callers begin.
	poisonWork = 600 * time.Millisecond
	poisonPoll = 20 * time.Millisecond
)

// poisonDump is the part of the state dump that lists suspect requests.
type poisonDump struct {
	Poison poison.State `json:"poison"`
}

// crashWatch counts the targets that each marked request took down.
type crashWatch struct {
	findings *findings
	mu       sync.Mutex
	lost     map[string]map[string]int
}

func (c *crashWatch) note(mark, target string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost[mark] == nil {
		c.lost[mark] = make(map[string]int)
	}
	c.lost[mark][target]++
	total := 0
	for _, n := range c.lost[mark] {
		total += n
	}
	return total
}

// poison sends a request that crashes the targets of a service: first by one caller, who sends it again and again, and by
// many others once the nodes know of the first crash. Nobody can refuse what began before, so the bound does not hold for
// it.
func (s *soak) poison(ctx context.Context, number int, f soakFault) error {
	service := s.fleet.Plan.Targets[f.index].Service
	route, ok := s.idempotentRoute(service)
	if !ok {
		return fmt.Errorf("service %s has no idempotent route", service)
	}
	mark := fmt.Sprintf("mark-%d-%d", number, time.Now().UnixMilli())
	ctx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for i, t := range s.fleet.Plan.Targets {
		if t.Service == service {
			workers.Go(func() { s.restartCrashed(ctx, i, mark) })
		}
	}
	known := make(chan struct{})
	workers.Go(func() {
		s.waitSuspected(ctx, mark, poison.Fingerprint(service, http.MethodGet, markedPath(route, mark), "", nil), known)
	})
	for n := range poisonCallers {
		workers.Go(func() {
			if n > 0 {
				select {
				case <-known:
				case <-ctx.Done():
				}
			}
			for i := n; ctx.Err() == nil; i++ {
				s.sendMarked(ctx, i, route, mark)
				pause(ctx, 50*time.Millisecond)
			}
		})
	}
	pause(ctx, f.duration)
	stop()
	workers.Wait()
	s.findings.logf("%s took down %d targets of %s", mark, s.crashes.count(mark), service)
	return nil
}

// waitSuspected closes the channel when all nodes that no fault disturbs know that the request is suspect.
func (s *soak) waitSuspected(ctx context.Context, mark string, fingerprint uint64, known chan<- struct{}) {
	for ctx.Err() == nil {
		if s.crashes.count(mark) > 0 && s.suspected(ctx, fingerprint) {
			s.findings.logf("%s is suspect at all nodes", mark)
			close(known)
			return
		}
		pause(ctx, poisonPoll)
	}
}

func (s *soak) suspected(ctx context.Context, fingerprint uint64) bool {
	for i := range s.fleet.Nodes {
		if !s.subjects.undisturbedSince(i, time.Now()) {
			continue
		}
		var dump poisonDump
		if s.fleet.Admin(ctx, i, "/state?section=poison", &dump) != nil {
			return false
		}
		if !slices.ContainsFunc(dump.Poison.Entries, func(e poison.EntryState) bool { return e.Fingerprint == fingerprint }) {
			return false
		}
	}
	return true
}

func markedPath(route model.RouteSpec, mark string) string {
	return route.PathPrefix + "/" + mark
}

func (c *crashWatch) count(mark string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, n := range c.lost[mark] {
		total += n
	}
	return total
}

// restartCrashed counts the crashes of a target and starts it again after each one.
func (s *soak) restartCrashed(ctx context.Context, index int, mark string) {
	plan := s.fleet.Plan.Targets[index]
	defer s.subjects.hold(fmt.Sprint("target ", index))()
	for {
		if p := s.fleet.Targets[index]; !p.Running() {
			if p.ExitCode() == crashStatus {
				if n := s.crashes.note(mark, plan.ID); n > maxPoisoned {
					s.findings.add("poison", "%s took down %d targets, the last one is %s", mark, n, plan.ID)
				}
			}
			if err := s.fleet.StartTarget(index); err != nil {
				s.findings.add("harness", "%s does not start: %v", plan.ID, err)
			}
		}
		if ctx.Err() != nil {
			break
		}
		pause(ctx, 10*time.Millisecond)
	}
	// A marked request may still run; its crash belongs to this fault.
	time.Sleep(2 * poisonWork)
	if p := s.fleet.Targets[index]; !p.Running() {
		if n := s.crashes.note(mark, plan.ID); n > maxPoisoned {
			s.findings.add("poison", "%s took down %d targets, the last one is %s", mark, n, plan.ID)
		}
		_ = s.fleet.StartTarget(index) // heal starts it otherwise.
	}
}

func (s *soak) idempotentRoute(service string) (model.RouteSpec, bool) {
	for _, spec := range s.fleet.Plan.Ticket.Services {
		for _, route := range spec.Routes {
			if spec.Name == service && route.Idempotent && !route.Resumable {
				return route, true
			}
		}
	}
	return model.RouteSpec{}, false
}

// sendMarked sends the same request as all other callers through one node; only the crashes count.
func (s *soak) sendMarked(ctx context.Context, n int, route model.RouteSpec, mark string) {
	node := s.fleet.Plan.Nodes[n%len(s.fleet.Plan.Nodes)].Settings.Listeners.Callers
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+markedPath(route, mark), nil)
	if err != nil {
		s.findings.add("harness", "the marked request can't be built: %v", err)
		return
	}
	request.Host = route.Host
	request.Header.Set("Standin-Crash", poisonWork.String())
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close() // Only the crashes count.
	}
}
