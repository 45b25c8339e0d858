package edge

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// errTimeoutHeader means that the caller's timeout is malformed.
var errTimeoutHeader = eris.New("the header " + model.HeaderTimeout + " is no positive duration such as 2s")

// defaultProtocol is the protocol for callers that use the Auburnwinch headers.
type defaultProtocol struct{}

// ID returns "" because callers send no request ids.
func (defaultProtocol) ID(*http.Request) string { return "" }

// Timeout reads the timeout header.
func (defaultProtocol) Timeout(r *http.Request) (time.Duration, error) {
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

// Parent returns "" because targets send no nested calls through the edge on their VM.
func (defaultProtocol) Parent(*http.Request) string { return "" }

// AccountKey returns "" because callers state their account.
func (defaultProtocol) AccountKey(*http.Request) (key, header string) { return "", "" }

// Header adds nothing.
func (defaultProtocol) Header(*http.Request) ([]relay.Field, []string) { return nil, nil }

// Refuse writes the refusal as JSON.
func (defaultProtocol) Refuse(w http.ResponseWriter, r relay.Refusal) {
	relay.WriteRefusal(w, r)
}
