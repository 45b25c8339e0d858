package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/auburnwinch/auburnwinch/internal/config"
)

// stateCmd prints the state dump of a node.
type stateCmd struct {
	settingsFlag
	Node    string `placeholder:"HOST:PORT" help:"Admin address of the node; by default the one in the settings."`
	Section string `help:"Print only this section, for example members, view, edge, agent or control."`
}

// Run requests the state dump from the admin listener of the node.
func (c *stateCmd) Run(out io.Writer) error {
	settings, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Node == "" {
		c.Node = settings.Listeners.Admin
	}
	ctx, cancel := commandContext()
	defer cancel()
	return c.dump(ctx, settings.OperatorToken, out)
}

func (c *stateCmd) dump(ctx context.Context, token string, out io.Writer) error {
	path := "http://" + c.Node + "/state"
	if c.Section != "" {
		path += "?section=" + url.QueryEscape(c.Section)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return &nodeError{Address: c.Node, Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := directClient.Do(request)
	if err != nil {
		return &nodeError{Address: c.Node, Cause: err}
	}
	// The body is read to its end, so an error of Close adds no information.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &nodeError{Address: c.Node, Cause: fmt.Errorf("status %s", response.Status)}
	}
	_, err = io.Copy(out, response.Body)
	return err
}
