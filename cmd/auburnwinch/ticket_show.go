package main

import (
	"io"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/store"
)

// ticketShowCmd prints an accepted ticket.
type ticketShowCmd struct {
	settingsFlag
	Number uint64 `arg:"" optional:"" help:"Number of the ticket; without it, the last accepted one."`
}

// Run prints the ticket as YAML, in the form in which it can be filed.
func (c *ticketShowCmd) Run(out io.Writer) error {
	_, s, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext()
	defer cancel()
	number := c.Number
	if number == 0 {
		if number, err = s.Head(ctx); err != nil {
			return err
		}
	}
	if number == 0 {
		return &store.NotFoundError{What: "ticket yet"}
	}
	t, err := s.Ticket(ctx, number)
	if err != nil {
		return err
	}
	data, err := yaml.Marshal(t)
	if err != nil {
		return eris.Wrap(err, "encode the ticket")
	}
	_, err = out.Write(data)
	return err
}
