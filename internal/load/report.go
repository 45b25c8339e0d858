package load

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ServiceReport summarizes the operations of one service.
type ServiceReport struct {
	Service string
	Sends   int
	Done    int
	// Failed counts complete responses of a target with status 500 or above.
	Failed       int
	NotRun       int
	Unknown      int
	Contradicted int
	Durations    []time.Duration
}

// Report is the result of a run: one row per service and the operations whose response was wrong.
type Report struct {
	Rows         []*ServiceReport
	Contradicted []string
	// Unserved lists the operations whose final outcome is not-run, and the idempotent ones whose final outcome is unknown,
	// with the refusals of all sends.
	Unserved []string
}

// Check compares the outcomes of the operations with the records of the targets.
func Check(plan *procs.Plan, operations []Operation, runs []RunRecord) *Report {
	report := &Report{}
	for _, spec := range plan.Ticket.Services {
		report.Rows = append(report.Rows, &ServiceReport{Service: spec.Name})
	}
	begun := make(map[string]int)
	for _, run := range runs {
		begun[run.Request] += run.Begun
	}
	for _, op := range operations {
		report.add(op, begun[op.ID])
	}
	return report
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) error {
	for _, line := range r.Contradicted {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tOPERATIONS\tSENDS\tDONE\tTARGET ERROR\tNOT RUN\tUNKNOWN\tMEDIAN\tP99\tUNTRUE")
	for _, row := range r.Rows {
		row.print(w)
	}
	return w.Flush()
}

// Total returns the sum over all services.
func (r *Report) Total() ServiceReport {
	var total ServiceReport
	for _, row := range r.Rows {
		total.Sends += row.Sends
		total.Done += row.Done
		total.Failed += row.Failed
		total.NotRun += row.NotRun
		total.Unknown += row.Unknown
		total.Contradicted += row.Contradicted
		total.Durations = append(total.Durations, row.Durations...)
	}
	return total
}

// Quantile returns a quantile of the durations, for a fraction from 0 to 1; it is zero without operations.
func (r *ServiceReport) Quantile(fraction float64) time.Duration {
	if len(r.Durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Durations))
	return sorted[min(int(float64(len(sorted))*fraction), len(sorted)-1)]
}

func (r *Report) add(op Operation, runs int) {
	i := slices.IndexFunc(r.Rows, func(row *ServiceReport) bool { return row.Service == op.Service })
	row := r.Rows[i]
	row.Sends += op.Sends
	row.Durations = append(row.Durations, op.Duration)
	switch {
	case op.Outcome == model.OutcomeDone && op.Status >= http.StatusInternalServerError:
		row.Failed++
	case op.Outcome == model.OutcomeDone:
		row.Done++
	case op.Outcome == model.OutcomeNotRun:
		row.NotRun++
		r.addUnserved(op)
	default:
		row.Unknown++
		if op.Kind != KindWrite {
			r.addUnserved(op)
		}
	}
	if detail := contradiction(op, runs); detail != "" {
		row.Contradicted++
		r.Contradicted = append(r.Contradicted, fmt.Sprintf("operation %s of %s, key %s, outcome %s after %d sends: %s",
			op.ID, op.Service, op.Key, op.Outcome, op.Sends, detail))
	}
}

func (r *Report) addUnserved(op Operation) {
	r.Unserved = append(r.Unserved, fmt.Sprintf("operation %s of %s: %s after %d sends, %v: %s",
		op.ID, op.Service, op.Outcome, op.Sends, op.Duration, strings.Join(op.Refusals, "; ")))
}

// contradiction describes how the outcome contradicts the number of runs, or returns an empty string.
func contradiction(op Operation, runs int) string {
	switch {
	case op.ResponseError != "":
		return op.ResponseError
	case op.Kind != KindWrite:
		return ""
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case op.Outcome == model.OutcomeNotRun && runs > 0:
		return "the outcome is not-run, but it ran"
	default:
		return ""
	}
}

func (r *ServiceReport) print(w io.Writer) {
	const precision = 100 * time.Microsecond
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", r.Service, len(r.Durations), r.Sends, r.Done, r.Failed,
		r.NotRun, r.Unknown, r.Quantile(0.5).Round(precision), r.Quantile(0.99).Round(precision), r.Contradicted)
}
