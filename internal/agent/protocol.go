package agent

import (
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// defaultProtocol is the product's own protocol for targets.
type defaultProtocol struct{}

// ID returns an empty string, because callers of the product send no ids.
func (defaultProtocol) ID(*http.Request) string { return "" }

// Header returns the time left and the client account.
func (defaultProtocol) Header(r *http.Request, _ model.TargetRef, left time.Duration) (add []relay.Field, omit []string) {
	add = append(make([]relay.Field, 0, 2), relay.Field{Name: model.HeaderTimeout, Value: left.Round(time.Millisecond).String()})
	if account := r.Header.Get(model.HeaderAccount); account != "" {
		add = append(add, relay.Field{Name: model.HeaderAccount, Value: account})
	}
	return add, nil
}

// Matches returns true, because targets of the product echo no ids.
func (defaultProtocol) Matches(*http.Request, *http.Response) bool { return true }

// Verdict accepts every response as that of the request.
func (defaultProtocol) Verdict(*http.Response) Verdict { return VerdictOK }

// Notice returns an empty notice, because targets of the product state nothing about themselves.
func (defaultProtocol) Notice(*http.Response) (relay.Notice, error) { return relay.Notice{}, nil }
