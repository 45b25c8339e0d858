package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Refusal is a response that the fleet generates itself.
type Refusal struct {
	Status     int
	Answer     model.Answer
	RetryAfter time.Duration
}

// WriteRefusal writes the refusal with the outcome header and a JSON body.
func WriteRefusal(w http.ResponseWriter, r Refusal) {
	body, err := json.Marshal(r.Answer)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(model.HeaderOutcome, string(r.Answer.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
