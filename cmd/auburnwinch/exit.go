package main

import (
	"errors"

	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/strict"
)

// Exit codes of the program, which scripts may rely on.
const (
	codeDone        = 0
	codeFailed      = 1
	codeInvalid     = 2
	codeConflict    = 3
	codeUnavailable = 4
	codeUncertain   = 5
	codeMissing     = 6
)

const exitCodes = `Exit codes:
0 done;
1 other failure;
2 invalid file, settings or arguments;
3 conflict with another accepted ticket, or a number that does not follow the last one;
4 the platform or the node did not answer, and nothing was accepted;
5 it is not known whether the ticket was accepted: file it again;
6 no such ticket.`

// exitCode returns the exit code that documents the kind of an error.
func exitCode(err error) int {
	var (
		invalid     strict.Problems
		size        *store.SizeError
		conflict    *store.ConflictError
		gap         *store.GapError
		unavailable *store.UnavailableError
		unreachable *nodeError
		uncertain   *store.UncertainError
		missing     *store.NotFoundError
	)
	switch {
	case err == nil:
		return codeDone
	case errors.As(err, &invalid), errors.As(err, &size):
		return codeInvalid
	case errors.As(err, &conflict), errors.As(err, &gap):
		return codeConflict
	case errors.As(err, &uncertain):
		return codeUncertain
	case errors.As(err, &unavailable), errors.As(err, &unreachable):
		return codeUnavailable
	case errors.As(err, &missing):
		return codeMissing
	default:
		return codeFailed
	}
}
