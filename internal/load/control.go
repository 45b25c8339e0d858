package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Fault configures the faults of a stand-in target; the zero value is a healthy target.
type Fault struct {
	// Stall blocks every request until the fault is removed; probes are still answered.
	Stall bool `json:"stall"`
	// StallProbes blocks probes as well.
	StallProbes bool `json:"stall-probes"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow-factor"`
	// SlowAbove doubles the service time of a request that starts while more than this number of requests, including
	// itself, are in flight; zero means never.
	SlowAbove int64 `json:"slow-above"`
	// ErrorRatio is the fraction of requests that are answered with status 500.
	ErrorRatio float64 `json:"error-ratio"`
	// ResetRatio is the fraction of requests whose connection is reset after the work is done.
	ResetRatio float64 `json:"reset-ratio"`
	// TruncateAfter truncates bodies after this number of bytes; zero means never.
	TruncateAfter int64 `json:"truncate-after"`
	// StallAfter stalls bodies after this number of bytes; zero means never.
	StallAfter int64 `json:"stall-after"`
	// For removes the fault after this time; zero keeps it.
	For model.Duration `json:"for"`
}

// RunRecord is the record of one target about one request.
type RunRecord struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Begun   int    `json:"begun"`
	Ended   int    `json:"ended"`
}

type targetRecords struct {
	Runs []RunRecord `json:"runs"`
}

// SetFault replaces the faults of a stand-in target.
func SetFault(ctx context.Context, target procs.TargetPlan, f Fault) error {
	return put(ctx, "http://"+target.Control+"/fault", f)
}

// SetPlatformFaults replaces the fault rules of the stand-in platform; without rules it is healthy.
func SetPlatformFaults(ctx context.Context, plan *procs.Plan, rules ...fault.Rule) error {
	if rules == nil {
		rules = []fault.Rule{}
	}
	return put(ctx, "http://"+plan.PlatformControl()+"/v1/faults", rules)
}

// CollectRuns returns the records of all targets whose process is running.
func CollectRuns(ctx context.Context, fleet *procs.Fleet) ([]RunRecord, error) {
	var runs []RunRecord
	for i, t := range fleet.Plan.Targets {
		if !fleet.Targets[i].Running() {
			continue
		}
		records, err := CollectRunsOf(ctx, t)
		if err != nil {
			return nil, err
		}
		runs = append(runs, records...)
	}
	return runs, nil
}

// CollectRunsOf returns the records of one running target, including those of its earlier processes.
func CollectRunsOf(ctx context.Context, t procs.TargetPlan) ([]RunRecord, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Control+"/runs", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	var records targetRecords
	if err := exchange(request, &records); err != nil {
		return nil, eris.Wrapf(err, "read the records of target %s", t.ID)
	}
	return records.Runs, nil
}

func put(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode the fault")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	return exchange(request, nil)
}

func exchange(request *http.Request, into any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send the request to the stand-in")
	}
	defer func() { _ = response.Body.Close() }() // The body is read in full or not needed.
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s %s: %s", request.Method, request.URL, response.Status)
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "decode the response")
}
