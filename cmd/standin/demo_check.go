package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// errUntrue reports that the demo found an answer that was not true.
var errUntrue = errors.New("an answer was not true, not whole, or an operation ran twice; see the table and the logs")

// row sums up the operations of one service.
type row struct {
	service                            string
	done, failed, notRun, unknown, bad int
	sends                              int
	durations                          []time.Duration
}

// runScenario kills one target and stalls another under load, then checks every answer.
func runScenario(ctx context.Context, fleet *procs.Fleet, duration time.Duration) error {
	killed, stalled := 0, len(fleet.Targets)/2
	l := newLoad(fleet)
	loadContext, stop := context.WithTimeout(ctx, duration)
	defer stop()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.run(loadContext)
	}()
	if !sleep(ctx, duration/4) {
		return ctx.Err()
	}
	fmt.Printf("%s: killing target %s\n", fleet.Plan.Name, fleet.Targets[killed].Name)
	if err := fleet.Targets[killed].Kill(); err != nil {
		return err
	}
	if !sleep(ctx, duration/4) {
		return ctx.Err()
	}
	fmt.Printf("%s: stalling target %s; it still answers probes\n", fleet.Plan.Name, fleet.Targets[stalled].Name)
	if err := setFault(ctx, fleet.Plan.Targets[stalled].Control, fault{Stall: true}); err != nil {
		return err
	}
	<-finished
	if err := setFault(ctx, fleet.Plan.Targets[stalled].Control, fault{}); err != nil {
		return err
	}
	runs, err := collectRuns(ctx, fleet)
	if err != nil {
		return err
	}
	return report(fleet.Plan, l.operations, runs)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func setFault(ctx context.Context, control string, f fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/fault", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // Only the status counts.
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("set the fault of a target: %s", response.Status)
	}
	return nil
}

// collectRuns counts the runs of each request at the targets that still run.
func collectRuns(ctx context.Context, fleet *procs.Fleet) (map[string]int, error) {
	counts := make(map[string]int)
	for i, t := range fleet.Plan.Targets {
		if !fleet.Targets[i].Running() {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Control+"/runs", nil)
		if err != nil {
			return nil, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		var s summary
		err = json.NewDecoder(response.Body).Decode(&s)
		_ = response.Body.Close() // The body is read in full.
		if err != nil {
			return nil, err
		}
		for _, r := range s.Runs {
			counts[r.Request] += r.Begun
		}
	}
	return counts, nil
}

// report prints a row for each service and fails when an operation has a fault.
func report(plan *procs.Plan, operations []operation, runs map[string]int) error {
	rows := make(map[string]*row)
	for _, op := range operations {
		if rows[op.Service] == nil {
			rows[op.Service] = &row{service: op.Service}
		}
		rows[op.Service].add(op, runs[op.ID])
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tOPERATIONS\tSENDS\tDONE\tTARGET ERROR\tNOT RUN\tUNKNOWN\tMEDIAN\tP99\tUNTRUE")
	bad := 0
	for _, spec := range plan.Ticket.Services {
		if r := rows[spec.Name]; r != nil {
			r.print(w)
			bad += r.bad
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if bad > 0 {
		return errUntrue
	}
	return nil
}

func (r *row) add(op operation, runs int) {
	r.sends += op.Sends
	r.durations = append(r.durations, op.Duration)
	switch {
	case op.Outcome == model.OutcomeDone && op.Status >= http.StatusInternalServerError:
		r.failed++
	case op.Outcome == model.OutcomeDone:
		r.done++
	case op.Outcome == model.OutcomeNotRun:
		r.notRun++
	default:
		r.unknown++
	}
	if fault := faultOf(op, runs); fault != "" {
		r.bad++
		fmt.Printf("operation %s of %s, outcome %s after %d sends: %s\n", op.ID, op.Service, op.Outcome, op.Sends, fault)
	}
}

// faultOf compares the answer with what the targets ran.
func faultOf(op operation, runs int) string {
	switch {
	case op.Fault != "":
		return op.Fault
	case op.Kind != operationWrite:
		return ""
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case op.Outcome == model.OutcomeNotRun && runs > 0:
		return "the answer says not-run, but it ran"
	case op.Outcome == model.OutcomeDone && runs == 0:
		return "the answer says done, but it did not run"
	default:
		return ""
	}
}

func (r *row) print(w *tabwriter.Writer) {
	slices.Sort(r.durations)
	n := len(r.durations)
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", r.service, n, r.sends, r.done, r.failed, r.notRun, r.unknown,
		r.durations[n/2].Round(100*time.Microsecond), r.durations[n*99/100].Round(100*time.Microsecond), r.bad)
}
