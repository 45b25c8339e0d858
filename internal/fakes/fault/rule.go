package fault

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Kind is the kind of an injected fault.
type Kind string

const (
	// Away closes the connection without executing the request.
	Away Kind = "away"
	// Hang holds the request for Delay, or until the client cancels it, and closes the connection without executing it.
	Hang Kind = "hang"
	// Slow executes the request after Delay, even if the client has canceled it.
	Slow Kind = "slow"
	// Lost executes the request and closes the connection without a response.
	Lost Kind = "lost"
	// Throttle rejects the request as exceeding the provisioned rate.
	Throttle Kind = "throttle"
	// Conflict rejects a transaction as conflicting with another one in progress; it applies to TransactWriteItems only.
	Conflict Kind = "conflict"
)

var kinds = []Kind{Away, Hang, Slow, Lost, Throttle, Conflict}

// Rule selects requests and the fault that is injected into them.
type Rule struct {
	// Service is `table` or `objects`; empty means both.
	Service string `json:"service,omitempty"`
	// Operation is the name of a protocol operation such as `PutItem`; empty means all.
	Operation string `json:"operation,omitempty"`
	Kind      Kind   `json:"kind"`
	// Delay applies to Slow and Hang.
	Delay model.Duration `json:"delay,omitempty"`
	// Count is the number of requests after which the rule expires; 0 means never.
	Count int `json:"count,omitempty"`
	// Share is the fraction of the selected requests that fail, from 0 to 1; 0 means all.
	Share float64 `json:"share,omitempty"`
}

// validate returns an error for a rule that can't be applied.
func (r Rule) validate() error {
	if !slices.Contains(kinds, r.Kind) {
		return fmt.Errorf("kind: unknown kind %q; remedy: use one of %v", r.Kind, kinds)
	}
	if r.Share < 0 || r.Share > 1 {
		return fmt.Errorf("share: impossible value %v; remedy: use 0 to 1", r.Share)
	}
	if r.Count < 0 || r.Delay < 0 {
		return fmt.Errorf("count and delay: impossible values %d and %s; remedy: use 0 or more", r.Count, r.Delay)
	}
	if (r.Kind == Slow || r.Kind == Hang) && r.Delay == 0 {
		return fmt.Errorf("delay: missing for kind %q; remedy: set it, for example 3s", r.Kind)
	}
	return nil
}

func (r Rule) selects(service, operation string) bool {
	if r.Kind == Conflict && operation != "TransactWriteItems" {
		return false
	}
	return (r.Service == "" || r.Service == service) && (r.Operation == "" || strings.EqualFold(r.Operation, operation))
}

func (r Rule) delay() time.Duration {
	return time.Duration(r.Delay)
}
