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

// notifyTimeout bounds the request to one node; a node that is not notified reads the ticket from the platform.
const notifyTimeout = 2 * time.Second

// ticketFileCmd submits a ticket to the platform.
type ticketFileCmd struct {
	settingsFlag
	Path string   `arg:"" type:"path" help:"Ticket file."`
	Node []string `placeholder:"HOST:PORT" help:"Admin addresses of nodes that are told at once; by default the one in the settings."`
}

// Run validates the ticket against the current configuration, submits it and notifies the nodes.
func (c *ticketFileCmd) Run(out io.Writer) error {
	t, err := readTicket(c.Path)
	if err != nil {
		return err
	}
	settings, s, err := c.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	before, err := checkAgainstPlatform(ctx, s, c.Path, t)
	if err != nil {
		return err
	}
	receipt, err := s.FileTicket(ctx, t)
	if err != nil {
		return err
	}
	suffix := ""
	if receipt.AlreadyAccepted || before.Number >= t.Number {
		suffix = " (it had been accepted before)"
	}
	if _, err := fmt.Fprintf(out, "accepted ticket %d%s\n", receipt.Number, suffix); err != nil {
		return err
	}
	if len(c.Node) == 0 {
		c.Node = []string{settings.Listeners.Admin}
	}
	if err := notifyNodes(ctx, c.Node, settings.OperatorToken, t, out); err != nil {
		return err
	}
	return saveSnapshot(ctx, s, before, t, out)
}

// notifyNodes sends the accepted ticket to nodes, which propagate it to the fleet. Otherwise no node would receive the
// ticket if the platform became unavailable right after accepting it. A failed notification does not undo the
// acceptance.
func notifyNodes(ctx context.Context, addresses []string, token string, t model.Ticket, out io.Writer) error {
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		err := postTicket(ctx, address, token, body)
		if err == nil {
			continue
		}
		if _, err := fmt.Fprintf(out, "notification failed, the nodes will read the ticket from the platform: %v\n", err); err != nil {
			return err
		}
	}
	return nil
}

func postTicket(ctx context.Context, address, token string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
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
	defer func() { _ = response.Body.Close() }() // Only the status matters.
	if response.StatusCode != http.StatusNoContent {
		return &nodeError{Address: address, Cause: fmt.Errorf("status %s", response.Status)}
	}
	return nil
}

// saveSnapshot stores a snapshot of the configuration after every ticket.SnapshotEvery tickets. Nodes that read the
// tickets store it as well, so a failure is printed but not returned.
func saveSnapshot(ctx context.Context, s *store.Store, before *model.Configuration, t model.Ticket, out io.Writer) error {
	if t.Number%ticket.SnapshotEvery != 0 || before.Number+1 != t.Number {
		return nil
	}
	if err := s.SaveSnapshot(ctx, ticket.Apply(before, t)); err != nil {
		_, err = fmt.Fprintf(out, "snapshot not saved, the nodes will save it: %v\n", err)
		return err
	}
	return nil
}
