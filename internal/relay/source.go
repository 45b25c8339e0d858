package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// InboundBody is the body of a request that a server is still receiving.
type InboundBody struct {
	body  io.Reader
	w     http.ResponseWriter
	ended atomic.Bool
}

// NewInboundBody wraps the body of a request; w is the response writer of the same request.
func NewInboundBody(w http.ResponseWriter, body io.Reader) *InboundBody {
	return &InboundBody{body: body, w: w}
}

// Read reads from the sender.
func (s *InboundBody) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

// Ended reports whether the whole body has been received. A response that starts earlier must close the connection,
// because net/http cancels all later requests of a connection whose body read was aborted.
func (s *InboundBody) Ended() bool {
	return s.ended.Load()
}

// abort makes a pending read return.
func (s *InboundBody) abort() {
	if !s.Ended() {
		_ = http.NewResponseController(s.w).SetReadDeadline(time.Now())
	}
}
