package edge

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// errTimeoutHeader refuses a malformed timeout of a caller.
var errTimeoutHeader = eris.New("the header " + model.HeaderTimeout + " is no positive duration such as 2s")

// ownProtocol is the product's own interface to callers.
type ownProtocol struct{}

// ID returns nothing, because callers of the product give no ids.
func (ownProtocol) ID(*http.Request) string { return "" }

// Timeout reads the header of the product.
func (ownProtocol) Timeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(model.HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, errTimeoutHeader
	}
	return timeout, nil
}

// Parent returns nothing: targets of the product send no requests through the edge beside them.
func (ownProtocol) Parent(*http.Request) string { return "" }

// Header adds nothing.
func (ownProtocol) Header(*http.Request) ([]relay.Field, []string) { return nil, nil }

// Refuse writes the answer of the product.
func (ownProtocol) Refuse(w http.ResponseWriter, r relay.Refusal) {
	relay.WriteRefusal(w, r)
}
