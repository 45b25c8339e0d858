package fault

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Control returns the handler of the control endpoint.
func (f *Faults) Control() http.Handler {
	router := httprouter.New()
	router.GET("/v1/faults", f.getRules)
	router.PUT("/v1/faults", f.putRules)
	router.DELETE("/v1/faults", f.deleteRules)
	router.GET("/v1/counters", f.getCounters)
	return router
}

func (f *Faults) getRules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, f.Rules())
}

func (f *Faults) putRules(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var rules []Rule
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&rules); err != nil {
		http.Error(w, "rules: "+err.Error()+"; remedy: send a JSON list of rules", http.StatusBadRequest)
		return
	}
	if err := f.Set(rules...); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f.Rules())
}

func (f *Faults) deleteRules(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := f.Set(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Faults) getCounters(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, f.Counters())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
