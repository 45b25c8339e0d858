package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/check"
	"github.com/auburnwinch/auburnwinch/platform"
)

// configCmd groups the commands about configurations of a hosted platform.
type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check a configuration before it is sent. Exit codes: 0 fine; 1 errors; 2 warnings only; 3 wrong arguments."`
}

// configCheckCmd checks a configuration and tells what it changes.
type configCheckCmd struct {
	File    string `arg:"" type:"path" help:"Configuration as the row of the store holds it."`
	Against string `type:"path" placeholder:"FILE" help:"Configuration in force."`
	JSON    bool   `help:"Print JSON."`
}

// configReport is what the command prints with --json.
type configReport struct {
	Findings []check.Finding `json:"findings"`
	Changes  []check.Change  `json:"changes"`
}

// foundError reports that a configuration has findings, which have been printed.
type foundError struct{ worst check.Severity }

// usageError reports arguments that are wrong.
type usageError struct{ error }

func (e foundError) Error() string {
	return "the configuration has findings; the worst one: " + string(e.worst)
}

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

// Run prints the findings and the changes; it fails if there are findings.
func (c *configCheckCmd) Run(out io.Writer) error {
	report := configReport{Findings: []check.Finding{}, Changes: []check.Change{}}
	next, err := c.read(c.File, &report)
	if err != nil {
		return err
	}
	if next != nil {
		report.Findings = append(report.Findings, check.Configuration(*next)...)
	}
	if c.Against != "" {
		inForce, err := c.read(c.Against, &report)
		if err != nil {
			return err
		}
		if next != nil && inForce != nil {
			changes, findings := check.Compare(*inForce, *next)
			report.Changes, report.Findings = append(report.Changes, changes...), append(report.Findings, findings...)
		}
	}
	if err := c.print(out, report); err != nil {
		return err
	}
	if worst := check.Worst(report.Findings); worst != "" {
		return foundError{worst: worst}
	}
	return nil
}

// read returns the configuration in the file, or nil with a finding if nodes can't decode it.
func (c *configCheckCmd) read(name string, report *configReport) (*check.Config, error) {
	value, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{eris.Wrap(err, "read the configuration; check the name of the file")}
	}
	config, err := platform.ParseConfiguration(value)
	if err != nil {
		report.Findings = append(report.Findings, check.Finding{Severity: check.Error, Place: name, Text: err.Error()})
		return nil, nil
	}
	limits, err := platform.ParseConnectionLimits(value)
	if err != nil {
		report.Findings = append(report.Findings, check.Finding{Severity: check.Error, Place: name, Text: err.Error()})
	}
	return &check.Config{Configuration: config.Configuration, Accounts: config.Accounts, Limits: check.Limits{
		HeaderBytes: limits.HeaderBytes, BodyBytes: config.Limits.BodyBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	}}, nil
}

func (c *configCheckCmd) print(out io.Writer, report configReport) error {
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, f := range report.Findings {
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, f.Place, f.Text); err != nil {
			return err
		}
	}
	for _, change := range report.Changes {
		if _, err := fmt.Fprintf(out, "change: %s: %s\n", change.Place, change.Text); err != nil {
			return err
		}
	}
	return nil
}

// configExitCode returns the exit code of `config check`; ok is false for errors of other commands.
func configExitCode(err error) (code int, ok bool) {
	var (
		found foundError
		usage usageError
	)
	switch {
	case errors.As(err, &usage):
		return exitConfigUsage, true
	case !errors.As(err, &found):
		return 0, false
	case found.worst == check.Error:
		return exitConfigErrors, true
	default:
		return exitConfigWarnings, true
	}
}

// Exit codes of `config check`, for scripts; they differ from those of the other commands.
const (
	exitConfigErrors   = 1
	exitConfigWarnings = 2
	exitConfigUsage    = 3
)
