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
	// commandTimeout bounds a whole command. An operator can wait longer than a client request, but should not have to
	// sit through an outage of hours.
	commandTimeout = 30 * time.Second
	// storeAttempts lets a command survive a brief failure of the platform.
	storeAttempts = 3
)

// ticketCmd groups the ticket subcommands.
type ticketCmd struct {
	File  ticketFileCmd  `cmd:"" help:"File a ticket. Filing the same file again is harmless."`
	Show  ticketShowCmd  `cmd:"" help:"Print an accepted ticket as YAML."`
	List  ticketListCmd  `cmd:"" help:"List the last accepted tickets and, with --node, the number in force on each node."`
	Check ticketCheckCmd `cmd:"" help:"Check a ticket without filing it."`
}

// settingsFlag selects the settings file, which contains the credentials of the platform.
type settingsFlag struct {
	Settings string `type:"path" default:"/etc/auburnwinch/node.yaml" env:"AUBURNWINCH_SETTINGS" help:"Settings file of a node."`
}

// openStore loads the settings and returns them with a store client for the platform.
func (f settingsFlag) openStore() (*config.Settings, *store.Store, error) {
	settings, err := config.Load(f.Settings)
	if err != nil {
		return nil, nil, err
	}
	s, err := store.New(store.Config{Platform: settings.Platform, Attempts: storeAttempts})
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

func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

// checkAgainstPlatform validates a ticket against the current configuration and returns that configuration.
func checkAgainstPlatform(ctx context.Context, s *store.Store, path string, t model.Ticket) (*model.Configuration, error) {
	c, err := s.Configuration(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the current configuration")
	}
	if t.Number > c.Number+1 {
		return nil, &store.GapError{Number: t.Number, Head: c.Number}
	}
	if t.Number <= c.Number {
		return c, nil
	}
	return c, withFile(path, ticket.ValidateAgainst(c, t))
}

// checkSameTicket returns a ConflictError if the accepted ticket with the same number has different content.
func checkSameTicket(ctx context.Context, s *store.Store, t model.Ticket) error {
	accepted, err := s.Ticket(ctx, t.Number)
	if err != nil {
		return err
	}
	digest, err := ticket.Digest(t)
	if err != nil {
		return eris.Wrap(err, "encode ticket")
	}
	acceptedDigest, err := ticket.Digest(accepted)
	if err != nil {
		return eris.Wrap(err, "encode accepted ticket")
	}
	if digest != acceptedDigest {
		return &store.ConflictError{Number: t.Number, Accepted: accepted}
	}
	return nil
}

// withFile adds the file name to problems that were found after parsing.
func withFile(path string, err error) error {
	problems, ok := err.(strict.Problems)
	if !ok {
		return err
	}
	for i := range problems {
		problems[i].File = path
	}
	return problems
}
