package store

import (
	"io"
	"net/http"
)

// PlainBodies sends request bodies with Read only. The SDK closes a body as soon as the head of the response has arrived; its
// WriteTo then returns io.EOF as an error, for which net/http closes the connection under the response.
type PlainBodies struct {
	http.RoundTripper
}

// RoundTrip sends the request.
func (t PlainBodies) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		body := r.Body
		r = r.WithContext(r.Context()) // A RoundTripper must not change the request of its caller.
		r.Body = struct{ io.ReadCloser }{body}
	}
	return t.RoundTripper.RoundTrip(r)
}
