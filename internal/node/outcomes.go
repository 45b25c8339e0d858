package node

import (
	"net/http"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// outcomes counts the answers to callers and the verdicts on targets.
type outcomes struct {
	done      atomic.Int64
	notRun    atomic.Int64
	unknown   atomic.Int64
	broken    atomic.Int64
	ejections atomic.Int64
	readmits  atomic.Int64
	retained  atomic.Int64
}

// around counts the outcome that the handler tells the caller.
func (o *outcomes) around(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := false
		defer func() {
			o.count(model.Outcome(w.Header().Get(model.HeaderOutcome)), whole)
		}()
		next.ServeHTTP(w, r)
		whole = true
	})
}

func (o *outcomes) count(outcome model.Outcome, whole bool) {
	switch {
	case !whole:
		o.broken.Add(1)
	case outcome == model.OutcomeDone:
		o.done.Add(1)
	case outcome == model.OutcomeNotRun:
		o.notRun.Add(1)
	case outcome == model.OutcomeUnknown:
		o.unknown.Add(1)
	}
}

func (o *outcomes) verdict(cmd eject.VerdictCmd) {
	switch cmd.To {
	case eject.StateEjected:
		o.ejections.Add(1)
	case eject.StateSlowStart:
		o.readmits.Add(1)
	case eject.StateRetained:
		o.retained.Add(1)
	}
}
