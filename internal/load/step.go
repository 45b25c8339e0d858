package load

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// calmFactor is the load, relative to the capacity, to which the load falls back after a step.
const calmFactor = 0.5

// busyInterval is the time between two readings of the slots in use.
const busyInterval = 200 * time.Millisecond

// Step is a load relative to the capacity of a service, after which the load falls back to half of the capacity.
type Step struct {
	// Open is the load; its rate is set by Factor.
	Open   OpenConfig
	Factor float64
	// Capacity in requests per second; zero takes that of the announced slots.
	Capacity float64
	Duration time.Duration
	// WarmUp is the start of the step that is not counted.
	WarmUp time.Duration
	// ReducedDuration is the time of the lower load.
	ReducedDuration time.Duration
	// InjectFault is called when Warm is over, RemoveFault when the load falls back; each may be nil.
	InjectFault, RemoveFault func(context.Context) error
}

// StepReport is what one step showed.
type StepReport struct {
	OpenReport
	Step Step
	// Offered is the number of requests per second that were sent.
	Offered float64
	// FirstAttempts and Retries count the attempts of all edges during the step.
	FirstAttempts, Retries uint64
	// Limit is the sum of the limits of the targets at the end of the step, Slots that of the announced slots.
	Limit, Slots int
	// SlotUtilization is the average share of the announced slots in which a request ran. Unlike Goodput it does not fall when the
	// machine is too busy to wake the targets in time.
	SlotUtilization float64
	// Recovery is the time after the fall of the load until every request is done in time.
	Recovery time.Duration
	// Reduced sums up the lower load.
	Reduced OpenReport
	// Contradicted are requests whose answer does not agree with the records of the targets.
	Contradicted []string
}

// edgeDump and agentDump are the parts of the state dump that a step needs.
type edgeDump struct {
	Edge edge.State `json:"edge"`
}

type agentDump struct {
	Agent struct {
		Targets []struct {
			Target struct {
				Ref   model.TargetRef
				Slots int
			} `json:"target"`
			InFlight int        `json:"in-flight"`
			Load     relay.Load `json:"load"`
		} `json:"targets"`
	} `json:"agent"`
}

// slotUse sums up targets: requests that run, learned limits and announced slots.
type slotUse struct {
	running, limit, slots int
}

// stepRun is a step that runs.
type stepRun struct {
	Step
	fleet *procs.Fleet
	begun time.Time
	fell  time.Time
	busy  []Arrival
	calm  []Arrival
}

// RunStep runs the step and compares its answers with the records of the targets.
func RunStep(ctx context.Context, s Step) (*StepReport, error) {
	if s.Capacity == 0 {
		s.Capacity = s.Open.Fleet.Plan.Capacity(s.Open.Service)
	}
	r := &stepRun{Step: s, fleet: s.Open.Fleet}
	before, err := r.counters(ctx)
	if err != nil {
		return nil, err
	}
	report := &StepReport{Step: s}
	if err := r.run(ctx, report); err != nil {
		return nil, err
	}
	report.FirstAttempts -= before.Requests
	report.Retries -= before.Retries
	runs, err := CollectRuns(ctx, r.fleet)
	if err != nil {
		return nil, err
	}
	r.conclude(report, runs)
	return report, nil
}

// run sends both loads; the lower one begins while the last requests of the higher one are in flight.
func (r *stepRun) run(ctx context.Context, report *StepReport) error {
	busy, err := NewOpenLoad(r.open("busy", r.Factor))
	if err != nil {
		return err
	}
	calm, err := NewOpenLoad(r.open("calm", calmFactor))
	if err != nil {
		return err
	}
	var group conc.WaitGroup
	defer group.Wait()
	r.begun = time.Now()
	group.Go(func() { r.busy = busy.Run(ctx, r.Duration) })
	time.Sleep(r.WarmUp)
	if r.InjectFault != nil {
		if err := r.InjectFault(ctx); err != nil {
			return err
		}
	}
	if report.SlotUtilization, err = r.sampleBusy(ctx); err != nil {
		return err
	}
	r.fell = time.Now()
	group.Go(func() { r.calm = calm.Run(ctx, r.ReducedDuration) })
	if r.RemoveFault != nil {
		if err := r.RemoveFault(ctx); err != nil {
			return err
		}
	}
	return r.readNodes(ctx, report)
}

func (r *stepRun) open(name string, factor float64) OpenConfig {
	c := r.Open
	c.Prefix = fmt.Sprintf("%s-%s", c.Prefix, name)
	c.Rate = factor * r.Capacity
	return c
}

func (r *stepRun) readNodes(ctx context.Context, report *StepReport) error {
	counters, err := r.counters(ctx)
	report.FirstAttempts, report.Retries = counters.Requests, counters.Retries
	if err != nil {
		return err
	}
	use, err := r.slots(ctx)
	report.Limit, report.Slots = use.limit, use.slots
	return err
}

// sampleBusy reads the use of the slots until the load falls.
func (r *stepRun) sampleBusy(ctx context.Context) (float64, error) {
	sum, samples := 0.0, 0
	for end := r.begun.Add(r.Duration); time.Now().Before(end); time.Sleep(min(busyInterval, time.Until(end))) {
		use, err := r.slots(ctx)
		if err != nil {
			return 0, err
		}
		sum += float64(use.running) / float64(max(1, use.slots))
		samples++
	}
	return sum / float64(max(1, samples)), nil
}

// slots returns the sums over all targets of the service.
func (r *stepRun) slots(ctx context.Context) (slotUse, error) {
	var use slotUse
	for i := range r.fleet.Nodes {
		var dump agentDump
		if err := r.fleet.Admin(ctx, i, "/state?section=agent", &dump); err != nil {
			return use, err
		}
		for _, t := range dump.Agent.Targets {
			if t.Target.Ref.Service == r.Open.Service {
				use.running += t.InFlight
				use.limit += t.Load.Limit
				use.slots += t.Target.Slots
			}
		}
	}
	return use, nil
}

// counters returns the sums over all edges.
func (r *stepRun) counters(ctx context.Context) (edge.Counters, error) {
	var sum edge.Counters
	for i := range r.fleet.Nodes {
		var dump edgeDump
		if err := r.fleet.Admin(ctx, i, "/state?section=edge", &dump); err != nil {
			return sum, err
		}
		sum.Requests += dump.Edge.Counters.Requests
		sum.Retries += dump.Edge.Counters.Retries
	}
	return sum, nil
}

func (r *stepRun) conclude(report *StepReport, runs []RunRecord) {
	report.OpenReport = ReportOpen(r.Open, r.busy, r.begun.Add(r.WarmUp), r.fell)
	report.Offered = float64(report.Sent) / (r.Duration - r.WarmUp).Seconds()
	report.Reduced = ReportOpen(r.Open, r.calm, r.fell, r.fell.Add(r.ReducedDuration))
	report.Recovery = max(0, LastFailure(r.calm, r.Open.Deadline).Sub(r.fell))
	report.Contradicted = append(Contradicted(r.busy, runs), Contradicted(r.calm, runs)...)
}
