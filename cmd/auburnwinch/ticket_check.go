package main

import (
	"context"
	"fmt"
	"io"

	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ticketCheckCmd checks a ticket without filing it.
type ticketCheckCmd struct {
	settingsFlag
	Path    string `arg:"" type:"path" help:"Ticket file."`
	Offline bool   `help:"Check only what the file itself shows, without the platform."`
}

// Run reports all faults of the ticket.
func (c *ticketCheckCmd) Run(out io.Writer) error {
	t, err := readTicket(c.Path)
	if err != nil {
		return err
	}
	if !c.Offline {
		_, s, err := c.open()
		if err != nil {
			return err
		}
		ctx, cancel := operatorContext()
		defer cancel()
		current, err := checkAgainstPlatform(ctx, s, c.Path, t)
		if err != nil {
			return err
		}
		if t.Number <= current.Number {
			return c.reportRepeated(ctx, s, t, out)
		}
	}
	routes := 0
	for _, service := range t.Services {
		routes += len(service.Routes)
	}
	_, err = fmt.Fprintf(out, "ticket %d is valid: it sets %d services with %d routes and removes %d services\n",
		t.Number, len(t.Services), routes, len(t.Remove))
	return err
}

// reportRepeated reports whether a ticket whose number is taken is the accepted one.
func (c *ticketCheckCmd) reportRepeated(ctx context.Context, s *store.Store, t model.Ticket, out io.Writer) error {
	if err := checkRepeated(ctx, s, t); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "ticket %d was accepted before with the same content\n", t.Number)
	return err
}
