package edge

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ownPaths starts the paths that the fleet serves itself.
const ownPaths = "/.well-known/auburnwinch/"

type ownerAnswer struct {
	Owner string `json:"owner"`
}

type keyAnswer struct {
	model.Answer
	Running bool `json:"running"`
}

func (e *Edge) serveOwn(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		relay.WriteRefusal(w, notRun(http.StatusMethodNotAllowed, "this path accepts GET only", remedyFix))
	case e.config.KeyOwner == nil:
		relay.WriteRefusal(w, notRun(http.StatusNotFound, "this node keeps no idempotency keys", remedyFix))
	case r.URL.Path == model.PathOwner:
		writeJSON(w, ownerAnswer{Owner: e.config.KeyOwner.OwnerToken()})
	case strings.HasPrefix(r.URL.Path, model.PathKeys) && len(r.URL.Path) > len(model.PathKeys):
		e.serveKey(w, r, strings.TrimPrefix(r.URL.Path, model.PathKeys))
	default:
		relay.WriteRefusal(w, notRun(http.StatusNotFound, "the fleet serves no such path", remedyFix))
	}
}

func (e *Edge) serveKey(w http.ResponseWriter, r *http.Request, key string) {
	d := e.config.KeyOwner.Query(r.Context(), key)
	answer := keyAnswer{Answer: model.Answer{Outcome: model.OutcomeUnknown, Reason: d.Reason, Remedy: remedyUnknown}}
	switch d.Kind {
	case DecisionReplay:
		answer.Answer = model.Answer{Outcome: model.OutcomeDone, Reason: d.Reason, Remedy: "nothing to do"}
	case DecisionNotRun, DecisionRun:
		answer.Answer = model.Answer{Outcome: model.OutcomeNotRun, Reason: d.Reason, Remedy: remedyLater}
	case DecisionInProgress:
		answer.Running = true
	case DecisionUnknown:
	}
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body)
}
