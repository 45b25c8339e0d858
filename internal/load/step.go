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

// reducedFactor is the reduced load relative to the capacity of the service.
const reducedFactor = 0.5

// slotSampleInterval is the interval at which the slots in use are sampled.
const slotSampleInterval = 200 * time.Millisecond

// Step configures a run of two loads on a service, each relative to its capacity: a first load of Factor times the
// capacity for Duration, then a reduced load of half the capacity for ReducedDuration.
type Step struct {
	// Open configures both loads, except for their rates and prefixes.
	Open OpenConfig
	// Factor is the rate of the first load relative to Capacity.
	Factor float64
	// Capacity is in requests per second; zero derives it from the announced slots.
	Capacity float64
	// Duration is the duration of the first load.
	Duration time.Duration
	// WarmUp is the time at the start of the first load that is excluded from the report.
	WarmUp time.Duration
	// ReducedDuration is the duration of the reduced load.
	ReducedDuration time.Duration
	// InjectFault is called after WarmUp, RemoveFault when the load is reduced; each may be nil.
	InjectFault, RemoveFault func(context.Context) error
}

// StepReport is the result of one run of a Step; the embedded OpenReport summarizes the first load after WarmUp.
type StepReport struct {
	OpenReport
	Step Step
	// Offered is the number of requests per second that the first load sent after WarmUp.
	Offered float64
	// FirstAttempts and Retries are the numbers of requests and of retries at all edges from the start of the run until
	// shortly after the load is reduced.
	FirstAttempts, Retries uint64
	// Limit is the sum of the concurrency limits of the targets shortly after the load is reduced, Slots the sum of
	// their announced slots.
	Limit, Slots int
	// SlotUtilization is the average fraction of the announced slots with a running request, from the end of WarmUp
	// until the load is reduced. Unlike Goodput it does not drop when the machine is too busy to schedule the targets
	// in time.
	SlotUtilization float64
	// Recovery is the time from the reduction of the load until every request succeeds in time.
	Recovery time.Duration
	// Reduced summarizes the reduced load.
	Reduced OpenReport
	// Contradicted lists the requests whose response contradicts the records of the targets.
	Contradicted []string
}

// edgeDump and agentDump are the parts of a node's state dump that RunStep reads.
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

// slotUse holds sums over targets: running requests, learned limits and announced slots.
type slotUse struct {
	running, limit, slots int
}

// stepRun is the state of a run of a Step.
type stepRun struct {
	Step
	fleet           *procs.Fleet
	startedAt       time.Time
	reducedAt       time.Time
	stepArrivals    []Arrival
	reducedArrivals []Arrival
}

// RunStep sends both loads of the Step and compares their responses with the records of the targets.
func RunStep(ctx context.Context, s Step) (*StepReport, error) {
	if s.Capacity == 0 {
		s.Capacity = s.Open.Fleet.Plan.Capacity(s.Open.Service)
	}
	r := &stepRun{Step: s, fleet: s.Open.Fleet}
	before, err := r.readCounters(ctx)
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
	r.summarize(report, runs)
	return report, nil
}

// run sends both loads; the reduced one starts while the last requests of the first load are in flight.
func (r *stepRun) run(ctx context.Context, report *StepReport) error {
	step, err := NewOpenLoad(r.loadConfig("busy", r.Factor))
	if err != nil {
		return err
	}
	reduced, err := NewOpenLoad(r.loadConfig("calm", reducedFactor))
	if err != nil {
		return err
	}
	var group conc.WaitGroup
	defer group.Wait()
	r.startedAt = time.Now()
	group.Go(func() { r.stepArrivals = step.Run(ctx, r.Duration) })
	time.Sleep(r.WarmUp)
	if r.InjectFault != nil {
		if err := r.InjectFault(ctx); err != nil {
			return err
		}
	}
	if report.SlotUtilization, err = r.sampleSlotUtilization(ctx); err != nil {
		return err
	}
	r.reducedAt = time.Now()
	group.Go(func() { r.reducedArrivals = reduced.Run(ctx, r.ReducedDuration) })
	if r.RemoveFault != nil {
		if err := r.RemoveFault(ctx); err != nil {
			return err
		}
	}
	return r.readFinalState(ctx, report)
}

func (r *stepRun) loadConfig(name string, factor float64) OpenConfig {
	c := r.Open
	c.Prefix = fmt.Sprintf("%s-%s", c.Prefix, name)
	c.Rate = factor * r.Capacity
	return c
}

func (r *stepRun) readFinalState(ctx context.Context, report *StepReport) error {
	counters, err := r.readCounters(ctx)
	report.FirstAttempts, report.Retries = counters.Requests, counters.Retries
	if err != nil {
		return err
	}
	use, err := r.readSlots(ctx)
	report.Limit, report.Slots = use.limit, use.slots
	return err
}

// sampleSlotUtilization samples the slots in use until the load is reduced.
func (r *stepRun) sampleSlotUtilization(ctx context.Context) (float64, error) {
	sum, samples := 0.0, 0
	for end := r.startedAt.Add(r.Duration); time.Now().Before(end); time.Sleep(min(slotSampleInterval, time.Until(end))) {
		use, err := r.readSlots(ctx)
		if err != nil {
			return 0, err
		}
		sum += float64(use.running) / float64(max(1, use.slots))
		samples++
	}
	return sum / float64(max(1, samples)), nil
}

// readSlots sums the running requests, limits and slots of all targets of the service.
func (r *stepRun) readSlots(ctx context.Context) (slotUse, error) {
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

// readCounters sums the counts of requests and retries of all edges.
func (r *stepRun) readCounters(ctx context.Context) (edge.Counters, error) {
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

func (r *stepRun) summarize(report *StepReport, runs []RunRecord) {
	report.OpenReport = ReportOpen(r.Open, r.stepArrivals, r.startedAt.Add(r.WarmUp), r.reducedAt)
	report.Offered = float64(report.Sent) / (r.Duration - r.WarmUp).Seconds()
	report.Reduced = ReportOpen(r.Open, r.reducedArrivals, r.reducedAt, r.reducedAt.Add(r.ReducedDuration))
	report.Recovery = max(0, LastFailure(r.reducedArrivals, r.Open.Deadline).Sub(r.reducedAt))
	report.Contradicted = append(Contradicted(r.stepArrivals, runs), Contradicted(r.reducedArrivals, runs)...)
}
