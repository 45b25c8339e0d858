package main

import (
	"fmt"
	"io"
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
		if _, err := checkAgainstPlatform(ctx, s, c.Path, t); err != nil {
			return err
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
