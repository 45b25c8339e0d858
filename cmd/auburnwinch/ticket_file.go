package main

import (
	"context"
	"fmt"
	"io"

	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ticketFileCmd files a ticket.
type ticketFileCmd struct {
	settingsFlag
	Path string `arg:"" type:"path" help:"Ticket file."`
}

// Run checks the ticket against the configuration in force and files it.
func (c *ticketFileCmd) Run(out io.Writer) error {
	t, err := readTicket(c.Path)
	if err != nil {
		return err
	}
	_, s, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext()
	defer cancel()
	before, err := checkAgainstPlatform(ctx, s, c.Path, t)
	if err != nil {
		return err
	}
	receipt, err := s.FileTicket(ctx, t)
	if err != nil {
		return err
	}
	again := ""
	if receipt.Repeated || before.Number >= t.Number {
		again = " (it had been accepted before)"
	}
	if _, err := fmt.Fprintf(out, "accepted ticket %d%s\n", receipt.Number, again); err != nil {
		return err
	}
	return saveSnapshot(ctx, s, before, t, out)
}

// saveSnapshot stores a snapshot after every ticket.SnapshotEvery tickets; readers store it as well, so a failure is
// only reported.
func saveSnapshot(ctx context.Context, s *store.Store, before *model.Configuration, t model.Ticket, out io.Writer) error {
	if t.Number%ticket.SnapshotEvery != 0 || before.Number+1 != t.Number {
		return nil
	}
	if err := s.SaveSnapshot(ctx, ticket.Apply(before, t)); err != nil {
		_, err = fmt.Fprintf(out, "the snapshot is left to the nodes: %v\n", err)
		return err
	}
	return nil
}
