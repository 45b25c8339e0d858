package main

import (
	"errors"

	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/strict"
)

// Exit codes are part of the command-line interface; scripts may rely on them.
const (
	exitOK          = 0
	exitFailure     = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUncertain   = 5
	exitNotFound    = 6
)

const exitCodeHelp = `Exit codes:
0 done;
1 other failure;
2 invalid file, settings or arguments;
3 conflict with another accepted ticket, or a number that does not follow the last one;
4 the platform or the node did not answer, and nothing was accepted;
5 it is not known whether the ticket was accepted: file it again;
6 no such ticket.`

// exitCode maps an error to the exit code of its kind.
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
	if code, ok := configExitCode(err); ok {
		return code
	}
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &invalid), errors.As(err, &size):
		return exitInvalid
	case errors.As(err, &conflict), errors.As(err, &gap):
		return exitConflict
	case errors.As(err, &uncertain):
		return exitUncertain
	case errors.As(err, &unavailable), errors.As(err, &unreachable):
		return exitUnavailable
	case errors.As(err, &missing):
		return exitNotFound
	default:
		return exitFailure
	}
}
