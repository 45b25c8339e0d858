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

// maxStatus bounds the answer of a node; 670 nodes take about 50 KB.
const maxStatus = 8 << 20

// directClient ignores proxies of the environment, because the operator token must reach only the node.
var directClient = &http.Client{Transport: &http.Transport{}}

// ticketListCmd lists accepted tickets and the numbers in force.
type ticketListCmd struct {
	settingsFlag
	Last int    `default:"10" help:"Number of tickets to list, at most 200."`
	Node string `placeholder:"HOST:PORT" help:"Admin address of a node, which is asked for the number in force per node."`
}

// ticketStatus is the answer of a node to GET /tickets.
type ticketStatus struct {
	Head  uint64       `json:"head"`
	Nodes []nodeStatus `json:"nodes"`
}

type nodeStatus struct {
	Node   string `json:"node"`
	Number uint64 `json:"number"`
	Lag    uint64 `json:"lag"`
}

// nodeError reports that a node did not give its ticket status.
type nodeError struct {
	Address string
	Cause   error
}

// Run prints both tables; the platform may be away when a node is asked.
func (c *ticketListCmd) Run(out io.Writer) error {
	settings, s, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := operatorContext()
	defer cancel()
	tickets, platformErr := lastTickets(ctx, s, c.Last)
	if platformErr != nil && c.Node == "" {
		return platformErr
	}
	if platformErr != nil {
		if _, err := fmt.Fprintf(out, "the tickets can't be listed: %v\n", platformErr); err != nil {
			return err
		}
	}
	if err := printTickets(out, tickets); err != nil || c.Node == "" {
		return err
	}
	status, err := readStatus(ctx, c.Node, settings.OperatorToken)
	if err != nil {
		return err
	}
	return printStatus(out, status)
}

func (e *nodeError) Error() string {
	return fmt.Sprintf("node %s did not answer as expected: %v; remedy: check --node (the admin listener) and the operator token", e.Address, e.Cause)
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

func readStatus(ctx context.Context, address, token string) (ticketStatus, error) {
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
	// The answer is read in full, so an error of Close says nothing more.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, &nodeError{Address: address, Cause: fmt.Errorf("status %s", response.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatus)).Decode(&status); err != nil {
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
