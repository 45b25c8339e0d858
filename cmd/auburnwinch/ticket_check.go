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

// Run reports all problems in the ticket.
func (c *ticketCheckCmd) Run(out io.Writer) error {
	t, err := readTicket(c.Path)
	if err != nil {
		return err
	}
	if !c.Offline {
		_, s, err := c.openStore()
		if err != nil {
			return err
		}
		ctx, cancel := commandContext()
		defer cancel()
		current, err := checkAgainstPlatform(ctx, s, c.Path, t)
		if err != nil {
			return err
		}
		if t.Number <= current.Number {
			return c.reportAccepted(ctx, s, t, out)
		}
	}
	routes := 0
	for _, service := range t.Services {
		routes += len(service.Routes)
	}
	_, err = fmt.Fprintf(out, "ticket %d is valid: sets %d services with %d routes, removes %d services\n",
		t.Number, len(t.Services), routes, len(t.Remove))
	return err
}

// reportAccepted reports whether a ticket whose number is already taken equals the accepted ticket.
func (c *ticketCheckCmd) reportAccepted(ctx context.Context, s *store.Store, t model.Ticket, out io.Writer) error {
	if err := checkSameTicket(ctx, s, t); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "ticket %d was accepted before with identical content\n", t.Number)
	return err
}
