package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// tellTimeout bounds the hand-over to one node; the nodes read the platform in any case.
const tellTimeout = 2 * time.Second

// ticketFileCmd files a ticket.
type ticketFileCmd struct {
	settingsFlag
	Path string   `arg:"" type:"path" help:"Ticket file."`
	Node []string `placeholder:"HOST:PORT" help:"Admin addresses of nodes that are told at once; by default the one in the settings."`
}

// Run checks the ticket against the configuration in force and files it.
func (c *ticketFileCmd) Run(out io.Writer) error {
	t, err := readTicket(c.Path)
	if err != nil {
		return err
	}
	settings, s, err := c.open()
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
	if receipt.AlreadyAccepted || before.Number >= t.Number {
		again = " (it had been accepted before)"
	}
	if _, err := fmt.Fprintf(out, "accepted ticket %d%s\n", receipt.Number, again); err != nil {
		return err
	}
	if len(c.Node) == 0 {
		c.Node = []string{settings.Listeners.Admin}
	}
	if err := tellNodes(ctx, c.Node, settings.OperatorToken, t, out); err != nil {
		return err
	}
	return saveSnapshot(ctx, s, before, t, out)
}

// tellNodes hands the accepted ticket to nodes, which spread it. Without that a platform that goes away right after the
// acceptance would keep the ticket from all nodes. The acceptance stands whether or not a node can be told.
func tellNodes(ctx context.Context, addresses []string, token string, t model.Ticket, out io.Writer) error {
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		err := postTicket(ctx, address, token, body)
		if err == nil {
			continue
		}
		if _, err := fmt.Fprintf(out, "not told at once, the nodes read the platform instead: %v\n", err); err != nil {
			return err
		}
	}
	return nil
}

func postTicket(ctx context.Context, address, token string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/tickets", bytes.NewReader(body))
	if err != nil {
		return &nodeError{Address: address, Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := directClient.Do(request)
	if err != nil {
		return &nodeError{Address: address, Cause: err}
	}
	defer func() { _ = response.Body.Close() }() // Only the status counts.
	if response.StatusCode != http.StatusNoContent {
		return &nodeError{Address: address, Cause: fmt.Errorf("status %s", response.Status)}
	}
	return nil
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
