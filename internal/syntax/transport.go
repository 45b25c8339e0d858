package syntax

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"
)

// maxInterims limits the interim responses before one final response.
const maxInterims = 100

// ErrGrammar means that a peer sent bytes that no HTTP/1.1 server may send; what they state proves nothing.
var ErrGrammar = eris.New("the peer sent bytes that are no HTTP/1.1 response; correct it")

// Transport fails with ErrGrammar for responses, interim responses and trailers that break the grammar as far as net/http
// shows it: it does not show folded lines.
type Transport struct {
	http.RoundTripper
}

// checkedBody checks the trailer at the end of the body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// RoundTrip sends the request and returns the response if its head keeps to the grammar.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interims := 0
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			// net/http counts neither the responses nor their bytes if this function is set.
			if interims++; interims > maxInterims {
				return eris.Wrap(ErrGrammar, "too many interim responses")
			}
			return checkFields(header)
		},
	})
	response, err := t.RoundTripper.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	err = checkFields(response.Header)
	if response.StatusCode < MinStatus || response.StatusCode > MaxStatus {
		err = eris.Wrapf(ErrGrammar, "status %d", response.StatusCode)
	}
	if err != nil {
		_ = response.Body.Close() // The response is of no use.
		return nil, err
	}
	if _, writes := response.Body.(io.Writer); !writes { // A connection after a 101 is a writer too.
		response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections, as http.Client expects.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Read reads from the body; it fails with ErrGrammar instead of io.EOF if the trailer is malformed.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkFields(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

func checkFields[H ~map[string][]string](header H) error {
	for name, values := range header {
		if !IsName(name) {
			return eris.Wrapf(ErrGrammar, "field name %.40q", name)
		}
		for _, value := range values {
			if !IsValue(value) {
				return eris.Wrapf(ErrGrammar, "value of %s: %.40q", name, value)
			}
		}
	}
	return nil
}
