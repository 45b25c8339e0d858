package relay

import "github.com/rotisserie/eris"

// The kinds of errors; each message names the remedy.
var (
	// ErrDial means that no connection was established, so that the request certainly did not run.
	ErrDial = eris.New("connection refused or timed out; check the address and the network path")
	// ErrNotSent means that nothing of the request was written.
	ErrNotSent = eris.New("the request was not sent; send it again")
	// ErrNotAdmitted means that the connection ended before the peer admitted the request. The body was not sent, so
	// that the request did not run.
	ErrNotAdmitted = eris.New("the connection ended before the request was admitted; send it again")
	// ErrTimeout means that the peer did not respond before the timeout; the connection is closed.
	ErrTimeout = eris.New("the peer did not respond before the timeout; use a new connection")
	// ErrBroken means that the connection broke after part of the request was sent.
	ErrBroken = eris.New("the connection broke before the response was complete; query the outcome of the request")
	// ErrChecksum means that the length or checksum of a body does not match its trailer.
	ErrChecksum = eris.New("the body does not match its length or checksum; discard it")
	// ErrBody means that the request body could not be read from its sender.
	ErrBody = eris.New("the request body ended early; send the whole body")
	// ErrSignature means that a relayed request is not signed with the fleet secret.
	ErrSignature = eris.New("the signature of the relayed request is wrong; check that all nodes have the same secret")
)

// DialError is an ErrDial with the cause reported by the operating system.
type DialError struct {
	Address string
	Cause   error
}

// Error names address, cause and remedy.
func (e *DialError) Error() string {
	return e.Address + ": " + e.Cause.Error() + ": " + ErrDial.Error()
}

// Unwrap returns the kind and the cause.
func (e *DialError) Unwrap() []error {
	return []error{ErrDial, e.Cause}
}
