package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// callerCmd sends requests to the fleet and verifies the responses.
type callerCmd struct {
	Edge       []string      `help:"Addresses of callers' listeners, host:port; they are used in turn." required:""`
	Control    []string      `help:"Control endpoints of all targets, to check not-run and at-most-once after the run."`
	Host       string        `help:"Host of the requests."`
	Path       string        `help:"Path and query of the requests." default:"/"`
	Method     string        `help:"Method of the requests." default:"GET"`
	Body       int           `help:"Length of the request body in bytes." default:"0"`
	Bytes      int64         `help:"Length of a download to ask for; -1 asks for a JSON answer." default:"-1"`
	Idempotent bool          `help:"The requests may run more than once."`
	Key        bool          `help:"Send an idempotency key, and send unknown requests once more with it."`
	Account    string        `help:"Account of the caller."`
	Timeout    time.Duration `help:"Time that the caller waits." default:"10s"`
	Rate       float64       `help:"Requests per second, sent at fixed times whatever the answers do." default:"100"`
	Duration   time.Duration `help:"Duration of the run." default:"10s"`
	MaxPending int           `help:"Requests that wait for their answer at a time; more are counted as skipped." default:"2000"`
}

// Run prints a JSON report; it fails when a response violates a guarantee of the fleet.
func (c *callerCmd) Run() error {
	if c.Rate <= 0 || c.Duration <= 0 {
		return eris.New("rate and duration must be positive")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	caller := newCaller(c)
	caller.run(ctx)
	if err := caller.verifyRuns(context.Background()); err != nil {
		return err
	}
	report := caller.report()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return eris.Errorf("%d responses violate a guarantee of the fleet; see violations in the report", report.ViolationCount)
	}
	return nil
}

// verifyRuns compares the outcome of each request with the run records of all targets: no run for the outcome not-run,
// at least one for done, and at most one if the request is not idempotent.
func (c *caller) verifyRuns(ctx context.Context) error {
	if len(c.config.Control) == 0 {
		return nil
	}
	begun := make(map[string]int)
	for _, address := range c.config.Control {
		s, err := fetchRuns(ctx, address)
		if err != nil {
			return err
		}
		for _, record := range s.Runs {
			begun[record.Request] += record.Begun
		}
	}
	for id, outcome := range c.outcomes {
		runs := begun[id]
		switch {
		case outcome == "not-run" && runs > 0:
			c.addViolation(fmt.Sprintf("request %s has outcome not-run but ran %d times", id, runs))
		case !c.config.Idempotent && runs > 1:
			c.addViolation(fmt.Sprintf("request %s is not idempotent and ran %d times", id, runs))
		case outcome == "done" && runs == 0:
			c.addViolation(fmt.Sprintf("request %s has outcome done but no target ran it", id))
		}
	}
	return nil
}

func fetchRuns(ctx context.Context, address string) (runsResponse, error) {
	var s runsResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return s, eris.Wrap(err, "malformed control address; use host:port")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, eris.Wrap(err, "control endpoint is unreachable; its target may have crashed")
	}
	defer response.Body.Close()
	return s, eris.Wrap(json.NewDecoder(response.Body).Decode(&s), "decode response of control endpoint")
}
