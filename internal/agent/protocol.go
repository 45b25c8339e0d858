package agent

import (
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ownProtocol is the product's own interface to targets.
type ownProtocol struct{}

// ID returns nothing, because callers of the product give no ids.
func (ownProtocol) ID(*http.Request) string { return "" }

// Header states the time left and the account.
func (ownProtocol) Header(r *http.Request, _ model.TargetRef, left time.Duration) (add []relay.Field, omit []string) {
	add = append(make([]relay.Field, 0, 2), relay.Field{Name: model.HeaderTimeout, Value: left.Round(time.Millisecond).String()})
	if account := r.Header.Get(model.HeaderAccount); account != "" {
		add = append(add, relay.Field{Name: model.HeaderAccount, Value: account})
	}
	return add, nil
}

// Matches returns true, because targets of the product echo no ids.
func (ownProtocol) Matches(*http.Request, *http.Response) bool { return true }

// Verdict takes every answer as that of the request.
func (ownProtocol) Verdict(*http.Response) Verdict { return VerdictOK }
