package fault

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Kind is the way in which a stand-in fails.
type Kind string

const (
	// Away closes the connection without an effect.
	Away Kind = "away"
	// Hang keeps the request for Delay, or until the caller gives up, without an effect.
	Hang Kind = "hang"
	// Slow delays the request by Delay; the effect takes place even when the caller has given up.
	Slow Kind = "slow"
	// Lost closes the connection after the effect.
	Lost Kind = "lost"
	// Throttle refuses the request as exceeding the provisioned rate.
	Throttle Kind = "throttle"
	// Conflict refuses a transaction as colliding with another one in progress; it applies to TransactWriteItems only.
	Conflict Kind = "conflict"
)

var kinds = []Kind{Away, Hang, Slow, Lost, Throttle, Conflict}

// Rule selects requests and the way in which they fail.
type Rule struct {
	// Service is `table` or `objects`; empty means both.
	Service string `json:"service,omitempty"`
	// Operation is the name of a protocol operation such as `PutItem`; empty means all.
	Operation string `json:"operation,omitempty"`
	Kind      Kind   `json:"kind"`
	// Delay is the delay of slow and hanging requests.
	Delay model.Duration `json:"delay,omitempty"`
	// Count is the number of requests after which the rule ends; 0 means that it lasts.
	Count int `json:"count,omitempty"`
	// Share is the share of the selected requests that fail, from 0 to 1; 0 means all.
	Share float64 `json:"share,omitempty"`
}

// validate fails on a rule that can't be applied.
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
