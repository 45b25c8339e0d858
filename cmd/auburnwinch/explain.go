package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/trace"
)

// explainCmd reconstructs the path of one request from the logs of the nodes.
type explainCmd struct {
	Request string   `required:"" placeholder:"ID" help:"Id of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of all nodes; by default the standard input."`
}

// Run reads the logs and prints the trace of the request; it fails when no line mentions the request.
func (c *explainCmd) Run(out io.Writer) error {
	lines, skipped, err := c.read()
	if err != nil {
		return err
	}
	if skipped > 0 {
		if _, err := fmt.Fprintf(out, "skipped %d malformed lines\n", skipped); err != nil {
			return err
		}
	}
	s := trace.Collect(c.Request, lines)
	if !s.Found() {
		return eris.Errorf("no log line mentions request %q; check the ID and whether the logs cover the time of the request", c.Request)
	}
	return s.Write(out)
}

func (c *explainCmd) read() (lines []trace.Line, skipped int, err error) {
	if len(c.Files) == 0 {
		return trace.Read(os.Stdin)
	}
	for _, name := range c.Files {
		fileLines, malformed, err := readFile(name)
		if err != nil {
			return nil, 0, err
		}
		lines, skipped = append(lines, fileLines...), skipped+malformed
	}
	return lines, skipped, nil
}

func readFile(name string) (lines []trace.Line, skipped int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, eris.Wrap(err, "open log file; check its name")
	}
	defer func() { _ = file.Close() }() // Opened read-only; the error carries no information.
	return trace.Read(file)
}
