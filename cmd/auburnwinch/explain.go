package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/story"
)

// explainCmd tells what happened to one request.
type explainCmd struct {
	Request string   `required:"" placeholder:"ID" help:"Id of the request."`
	Files   []string `arg:"" optional:"" help:"Log files of all nodes; by default the standard input."`
}

// Run reads the logs and prints the story; it fails when no line names the request.
func (c *explainCmd) Run(out io.Writer) error {
	lines, unreadable, err := c.read()
	if err != nil {
		return err
	}
	if unreadable > 0 {
		if _, err := fmt.Fprintf(out, "%d lines can't be read and are left out\n", unreadable); err != nil {
			return err
		}
	}
	s := story.Collect(c.Request, lines)
	if !s.Found() {
		return eris.Errorf("no line names the request %q; check the id and whether the logs of its time are complete", c.Request)
	}
	return s.Write(out)
}

func (c *explainCmd) read() (lines []story.Line, unreadable int, err error) {
	if len(c.Files) == 0 {
		return story.Read(os.Stdin)
	}
	for _, name := range c.Files {
		more, bad, err := readFile(name)
		if err != nil {
			return nil, 0, err
		}
		lines, unreadable = append(lines, more...), unreadable+bad
	}
	return lines, unreadable, nil
}

func readFile(name string) (lines []story.Line, unreadable int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, eris.Wrap(err, "open the log; check the name")
	}
	defer func() { _ = file.Close() }() // It was only read.
	return story.Read(file)
}
