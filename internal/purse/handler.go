package purse

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// requestBytes is the memory of a request in progress without its fields and its body: a block for the answer, buffers
	// of the connection to the next hop, and stacks.
	requestBytes = 80 << 10
	// bodyBytes is the block that holds the start of a body.
	bodyBytes = 32 << 10
	// discardTimeout bounds the wait for the rest of a body that the handler has not read.
	discardTimeout = 3 * time.Second
)

// body reports when the node waits for a client's body.
type body struct {
	io.ReadCloser
	conn  *Conn
	ended atomic.Bool
}

// Handler accounts for each request before it is handled, or has it refused; a refused request has not run.
func (p *Purse) Handler(next http.Handler, refuse http.HandlerFunc) http.Handler {
	if p == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if conn.ahead.Load() > maxAhead {
			w.Header()["Connection"] = []string{"close"}
			conn.report(ReasonSentAhead)
		}
		now := p.now()
		if p.update(ReleasedMsg{ID: conn.id}, HeldMsg{ID: conn.id, Bytes: costOf(r), MayRefuse: refuse != nil, Starts: refuse != nil, Now: now}) {
			w.Header()["Connection"] = []string{"close"}
			refuse(w, r)
			return
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: conn}
		// The server looks at the body of its own request to tell whether the client waits for permission to send it.
		counted := *r
		counted.Body = b
		next.ServeHTTP(w, &counted)
		if !b.ended.Load() {
			// The server reads on to find the next request.
			conn.enter(PhaseBody, 0)
			conn.discarding.Store(true)
			_ = conn.SetReadDeadline(time.Now().Add(discardTimeout)) // It fails if the connection is closed.
		}
	})
}

// Reserve accounts for bytes that the node holds until the request of the context ends; without room it returns false.
func (p *Purse) Reserve(ctx context.Context, bytes int64) bool {
	if p == nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(*Conn)
	return !ok || !p.update(HeldMsg{ID: conn.id, Bytes: bytes, MayRefuse: true, Now: p.now()})
}

// costOf returns the memory of a request, in bytes.
func costOf(r *http.Request) int64 {
	cost := int64(requestBytes + len(r.RequestURI))
	if r.ContentLength != 0 {
		cost += bodyBytes
	}
	for name, values := range r.Header {
		cost += int64(len(name))
		for _, value := range values {
			cost += int64(fieldBytes + len(value))
		}
	}
	return cost
}

// Read reads from the client.
func (b *body) Read(p []byte) (int, error) {
	c := b.conn
	c.enter(PhaseBody, 0)
	n, err := b.ReadCloser.Read(p)
	c.enter(PhaseWork, n)
	if err != nil {
		b.ended.Store(errors.Is(err, io.EOF))
	}
	return n, err
}

func (c *Conn) enter(phase Phase, bytes int) {
	c.phase.Store(int32(phase))
	c.purse.update(PhaseMsg{ID: c.id, Phase: phase, Bytes: bytes, Now: c.purse.now()})
}
