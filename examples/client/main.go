// Command client sends a non-idempotent request through the fleet so that it runs at most once.
//
// Usage:
//
//	client http://10.0.0.7:8080 http://10.0.1.7:8080
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/client"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := order(ctx, os.Args[1:]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func order(ctx context.Context, edges []string) error {
	c, err := client.New(client.Config{Edges: edges, Account: "modeller-17"})
	if err != nil {
		return err
	}
	response, err := c.Do(ctx, client.Request{
		Method: http.MethodPost,
		Host:   "kassa.kleefwerk.example",
		Path:   "/orders",
		Body:   []byte(`{"sheet": "1:72 roundels", "count": 2}`),
	})
	var failure *client.Error
	if errors.As(err, &failure) && failure.Outcome == model.OutcomeUnknown {
		return fmt.Errorf("the request may have run; keep its idempotency key %s to ask for the outcome: %w", failure.Key, err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("status %d after %d sends: %s\n", response.Status, response.Sends, response.Body)
	return nil
}
