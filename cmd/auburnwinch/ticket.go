package main

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// operatorTimeout bounds a whole command: an operator waits longer than a request, but not for an outage of hours.
	operatorTimeout = 30 * time.Second
	// operatorAttempts lets a command outlast a short disturbance of the platform.
	operatorAttempts = 3
)

// ticketCmd groups the commands about tickets.
type ticketCmd struct {
	File  ticketFileCmd  `cmd:"" help:"File a ticket. Filing the same file again is harmless."`
	Show  ticketShowCmd  `cmd:"" help:"Print an accepted ticket as YAML."`
	List  ticketListCmd  `cmd:"" help:"List the last accepted tickets and, with --node, the number in force on each node."`
	Check ticketCheckCmd `cmd:"" help:"Check a ticket without filing it."`
}

// settingsFlag names the settings with the access to the platform.
type settingsFlag struct {
	Settings string `type:"path" default:"/etc/auburnwinch/node.yaml" env:"AUBURNWINCH_SETTINGS" help:"Settings file of a node."`
}

// open loads the settings and returns a client of the platform.
func (f settingsFlag) open() (*config.Settings, *store.Store, error) {
	settings, err := config.Load(f.Settings)
	if err != nil {
		return nil, nil, err
	}
	s, err := store.New(store.Config{Platform: settings.Platform, Attempts: operatorAttempts})
	return settings, s, err
}

func readTicket(path string) (model.Ticket, error) {
	data, err := strict.ReadFile(path, strict.MaxSize)
	if err != nil {
		problem := strict.Problem{File: path, Detail: err.Error(), Remedy: "pass the path of a readable ticket file"}
		return model.Ticket{}, strict.Problems{problem}
	}
	return ticket.Parse(path, data)
}

func operatorContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), operatorTimeout)
}

// checkAgainstPlatform validates a ticket against the configuration that it would change.
func checkAgainstPlatform(ctx context.Context, s *store.Store, path string, t model.Ticket) (*model.Configuration, error) {
	c, err := s.Configuration(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration in force")
	}
	if t.Number > c.Number+1 {
		return nil, &store.GapError{Number: t.Number, Head: c.Number}
	}
	if t.Number <= c.Number {
		return c, nil
	}
	return c, inFile(path, ticket.ValidateAgainst(c, t))
}

// checkRepeated compares a ticket with the accepted one of the same number.
func checkRepeated(ctx context.Context, s *store.Store, t model.Ticket) error {
	accepted, err := s.Ticket(ctx, t.Number)
	if err != nil {
		return err
	}
	own, err := ticket.Digest(t)
	if err != nil {
		return eris.Wrap(err, "encode the ticket")
	}
	other, err := ticket.Digest(accepted)
	if err != nil {
		return eris.Wrap(err, "encode the accepted ticket")
	}
	if own != other {
		return &store.ConflictError{Number: t.Number, Accepted: accepted}
	}
	return nil
}

// inFile adds the file to faults that were found after parsing.
func inFile(path string, err error) error {
	problems, ok := err.(strict.Problems)
	if !ok {
		return err
	}
	for i := range problems {
		problems[i].File = path
	}
	return problems
}
