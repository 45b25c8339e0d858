package invar

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Violation describes one failed check.
type Violation struct {
	Module string
	Detail string
}

// Handler receives the violations of a process that is not a test binary.
type Handler func(Violation)

var (
	violations atomic.Uint64
	handler    atomic.Pointer[Handler]
)

// OnViolation replaces the handler that receives violations.
func OnViolation(h Handler) {
	handler.Store(&h)
}

// Violations returns the number of failed checks since the start of the process.
func Violations() uint64 {
	return violations.Load()
}

// Check reports a violation of one of the module's invariants if the condition is false.
func Check(holds bool, module, format string, args ...any) {
	if holds {
		return
	}
	report(Violation{Module: module, Detail: fmt.Sprintf(format, args...)})
}

func report(v Violation) {
	violations.Add(1)
	if testing.Testing() {
		panic("invariant violated in " + v.Module + ": " + v.Detail)
	}
	if h := handler.Load(); h != nil {
		(*h)(v)
	}
}
