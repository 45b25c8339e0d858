package peers

import (
	"io"
	"net/http"
	"strconv"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// answerBytes is the size of an answer, that of a small read.
const answerBytes = 200

var answer = make([]byte, answerBytes)

// ServeTarget answers as a target without work to do.
func ServeTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A caller that breaks off needs no answer.
	w.Header()["Content-Type"] = []string{"application/octet-stream"}
	w.Header()["Content-Length"] = []string{strconv.Itoa(answerBytes)}
	_, _ = w.Write(answer)
}

// serveRelay answers as the agent of a member in front of an idle target.
func serveRelay(w http.ResponseWriter, r *http.Request) {
	exchange := r.Header[model.HeaderExchange]
	if len(exchange) == 0 {
		ServeTarget(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // An edge that breaks off needs no answer.
	var sum relay.Checksum
	sum.Add(answer)
	h := w.Header()
	h[model.HeaderExchange] = exchange
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	h[model.HeaderLoad] = []string{relay.Load{InFlight: 1, Limit: 4}.String()}
	h[model.HeaderLength] = []string{strconv.Itoa(answerBytes)}
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Trailer"] = []string{relay.Trailers}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
	sum.WriteTrailer(h)
}
