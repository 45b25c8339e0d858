package peers

import (
	"io"
	"net/http"
	"strconv"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// responseBytes is the size of a response body, as for a small read.
const responseBytes = 200

var responseBody = make([]byte, responseBytes)

// ServeTarget responds at once, as a target that has no work to do.
func ServeTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The caller may have closed the connection.
	w.Header()["Content-Type"] = []string{"application/octet-stream"}
	w.Header()["Content-Length"] = []string{strconv.Itoa(responseBytes)}
	_, _ = w.Write(responseBody)
}

// serveRelay responds as the agent of a member whose target is idle.
func serveRelay(w http.ResponseWriter, r *http.Request) {
	exchange := r.Header[model.HeaderExchange]
	if len(exchange) == 0 {
		ServeTarget(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // The edge may have closed the connection.
	var sum relay.Checksum
	sum.Add(responseBody)
	h := w.Header()
	h[model.HeaderExchange] = exchange
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	h[model.HeaderLoad] = []string{relay.Load{InFlight: 1, Limit: 4}.String()}
	h[model.HeaderLength] = []string{strconv.Itoa(responseBytes)}
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Trailer"] = []string{relay.Trailers}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(responseBody)
	sum.WriteTrailer(h)
}
