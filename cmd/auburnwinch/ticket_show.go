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

// Run prints the ticket as YAML that can be filed again.
func (c *ticketShowCmd) Run(out io.Writer) error {
	_, s, err := c.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
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
		return eris.Wrap(err, "encode ticket")
	}
	_, err = out.Write(data)
	return err
}
