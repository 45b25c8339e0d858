package peer

import (
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/rotisserie/eris"
)

// Kinds of errors; callers compare them with errors.Is.
var (
	// ErrMalformed reports bytes that do not follow the protocol.
	ErrMalformed = member.ErrMalformed
	// ErrForged reports bytes whose authentication code does not match.
	ErrForged = eris.New("authentication code does not match; check that both nodes use the same fleet secret")
	// ErrOversized reports a message above the size bound.
	ErrOversized = eris.New("message exceeds the size bound; send it in smaller parts")
	// ErrStale reports a datagram for or from an earlier run of a node.
	ErrStale = member.ErrStale
	// ErrClosed reports the use of a peer after Close.
	ErrClosed = eris.New("peer is closed; start a new one")
	// ErrUnsent reports a call that certainly did not reach the other node; it may be repeated.
	ErrUnsent = eris.New("call was not sent; try again or choose another node")
	// ErrSilent reports a call whose connection went silent after the call was sent; it may have run.
	ErrSilent = eris.New("connection went silent after the call was sent; the call may have run, ask again on a new connection")
)
