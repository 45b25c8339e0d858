package peer

import (
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/rotisserie/eris"
)

// Errors to compare with errors.Is.
var (
	// ErrMalformed reports input that violates the protocol.
	ErrMalformed = member.ErrMalformed
	// ErrForged reports input whose authentication code does not match.
	ErrForged = eris.New("authentication code does not match; check that both nodes use the same fleet secret")
	// ErrOversized reports a message above the size limit.
	ErrOversized = eris.New("message exceeds the size bound; send it in smaller parts")
	// ErrStale reports a datagram for or from an earlier run of a node.
	ErrStale = member.ErrStale
	// ErrClosed reports the use of a peer after Close.
	ErrClosed = eris.New("peer is closed; start a new one")
	// ErrUnsent reports a call that was certainly not sent to the other node; it can be retried.
	ErrUnsent = eris.New("call was not sent; try again or choose another node")
	// ErrConnectionLost reports a connection that broke or stopped responding after the call was sent; the call may
	// have run.
	ErrConnectionLost = eris.New("connection went silent after the call was sent; the call may have run, ask again on a new connection")
)
