package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxStatusBytes limits the size of a status response; the status of 670 nodes takes about 50 KB.
const maxStatusBytes = 8 << 20

// directClient ignores the proxy environment variables, because the operator token must be sent only to the node.
var directClient = &http.Client{Transport: &http.Transport{}}

// ticketListCmd lists accepted tickets and the ticket number that each node has applied.
type ticketListCmd struct {
	settingsFlag
	Last int    `default:"10" help:"Number of tickets to list, at most 200."`
	Node string `placeholder:"HOST:PORT" help:"Admin address of a node, which is asked for the number in force per node."`
}

// ticketStatus is the response body of GET /tickets.
type ticketStatus struct {
	Head  uint64       `json:"head"`
	Nodes []nodeStatus `json:"nodes"`
}

type nodeStatus struct {
	Node   string `json:"node"`
	Number uint64 `json:"number"`
	Lag    uint64 `json:"lag"`
}

// nodeError reports a failed request to the admin listener of a node.
type nodeError struct {
	Address string
	Cause   error
}

// Run prints the tickets and, with --node, the status of the nodes, which does not require the platform.
func (c *ticketListCmd) Run(out io.Writer) error {
	settings, s, err := c.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	tickets, platformErr := lastTickets(ctx, s, c.Last)
	if platformErr != nil && c.Node == "" {
		return platformErr
	}
	if platformErr != nil {
		if _, err := fmt.Fprintf(out, "failed to list tickets: %v\n", platformErr); err != nil {
			return err
		}
	}
	if err := printTickets(out, tickets); err != nil || c.Node == "" {
		return err
	}
	status, err := fetchStatus(ctx, c.Node, settings.OperatorToken)
	if err != nil {
		return err
	}
	return printStatus(out, status)
}

func (e *nodeError) Error() string {
	return fmt.Sprintf("request to node %s failed: %v; remedy: check --node (the admin listener) and the operator token", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *nodeError) Unwrap() error { return e.Cause }

func lastTickets(ctx context.Context, s *store.Store, last int) ([]model.Ticket, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	last = min(max(last, 1), store.MaxBatch)
	return s.Tickets(ctx, head-min(head, uint64(last)), last)
}

func fetchStatus(ctx context.Context, address, token string) (ticketStatus, error) {
	var status ticketStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/tickets", nil)
	if err != nil {
		return status, &nodeError{Address: address, Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := directClient.Do(request)
	if err != nil {
		return status, &nodeError{Address: address, Cause: err}
	}
	// The body is read to its end, so an error of Close adds no information.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, &nodeError{Address: address, Cause: fmt.Errorf("status %s", response.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, &nodeError{Address: address, Cause: err}
	}
	return status, nil
}

func printTickets(out io.Writer, tickets []model.Ticket) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(tickets) > 0 {
		_, _ = fmt.Fprintln(w, "TICKET\tAUTHOR\tSERVICES\tREMOVED\tSUMMARY")
	}
	for _, t := range tickets {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\n", t.Number, t.Author, len(t.Services), len(t.Remove), t.Summary)
	}
	return w.Flush()
}

func printStatus(out io.Writer, status ticketStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "last accepted ticket known to the node: %d\nNODE\tNUMBER\tLAG\n", status.Head)
	for _, n := range status.Nodes {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", n.Node, n.Number, n.Lag)
	}
	return w.Flush()
}
