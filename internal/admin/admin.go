package admin

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"slices"

	"github.com/julienschmidt/httprouter"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxTicketBytes bounds a submitted ticket; 2,500 routes take about 400 KB.
const maxTicketBytes = 4 << 20

// Section is one named part of the state that /state returns.
type Section struct {
	Name string
	// Dump returns a value that encoding/json can encode. It may be called concurrently at any time.
	Dump func() any
}

// Health reports whether the node serves requests of callers.
type Health struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// NodeNumber is the number of the last ticket in force on one node.
type NodeNumber struct {
	Node   string `json:"node"`
	Number uint64 `json:"number"`
	Lag    uint64 `json:"lag"`
}

// TicketReport reports the last accepted ticket and the ticket in force on each node.
type TicketReport struct {
	Head  uint64       `json:"head"`
	Nodes []NodeNumber `json:"nodes"`
}

// Config configures the endpoints.
type Config struct {
	// Token is the operator token. Without a token and accepted tokens, every request except /health is refused.
	Token string
	// AcceptedTokens are further tokens that operators may use while the token is rotated.
	AcceptedTokens []string
	Sections       []Section
	Health         func() Health
	Tickets        func() TicketReport
	// SubmitTicket takes an accepted ticket from the operator's tool; it fails when the ticket is invalid.
	SubmitTicket func(model.Ticket) error
	Metrics      http.Handler
}

type server struct {
	Config
}

// New returns the handler of the admin listener.
func New(config Config) http.Handler {
	s := &server{Config: config}
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/health", s.health)
	router.Handler(http.MethodGet, "/state", s.requireOperator(http.HandlerFunc(s.state)))
	router.Handler(http.MethodGet, "/tickets", s.requireOperator(http.HandlerFunc(s.tickets)))
	if config.SubmitTicket != nil {
		router.Handler(http.MethodPost, "/tickets", s.requireOperator(http.HandlerFunc(s.submitTicket)))
	}
	if config.Metrics != nil {
		router.Handler(http.MethodGet, "/metrics", s.requireOperator(config.Metrics))
	}
	router.Handler(http.MethodGet, "/debug/pprof/profile", s.requireOperator(http.HandlerFunc(pprof.Profile)))
	for _, name := range []string{"allocs", "heap", "goroutine"} {
		router.Handler(http.MethodGet, "/debug/pprof/"+name, s.requireOperator(pprof.Handler(name)))
	}
	return router
}

func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	health := s.Health()
	status := http.StatusOK
	if !health.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

func (s *server) state(w http.ResponseWriter, r *http.Request) {
	wanted := r.URL.Query().Get("section")
	dump := make(map[string]any, len(s.Sections))
	for _, section := range s.Sections {
		if wanted == "" || wanted == section.Name {
			dump[section.Name] = section.Dump()
		}
	}
	if len(dump) == 0 {
		writeJSON(w, http.StatusNotFound, model.Answer{
			Outcome: model.OutcomeNotRun,
			Reason:  "no section " + wanted,
			Remedy:  "call /state without a section to see all names",
		})
		return
	}
	writeJSON(w, http.StatusOK, dump)
}

func (s *server) tickets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Tickets())
}

func (s *server) submitTicket(w http.ResponseWriter, r *http.Request) {
	var t model.Ticket
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTicketBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&t)
	if err == nil {
		err = s.SubmitTicket(t)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, model.Answer{
			Outcome: model.OutcomeNotRun,
			Reason:  "the ticket is refused: " + err.Error(),
			Remedy:  "hand over the ticket exactly as it was accepted",
		})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isOperator(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, model.Answer{
				Outcome: model.OutcomeNotRun,
				Reason:  "operator token missing or wrong",
				Remedy:  "send the operator token of the settings as a bearer token",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) isOperator(r *http.Request) bool {
	got := r.Header.Get("Authorization")
	if isBearer(got, s.Token) {
		return true
	}
	return slices.ContainsFunc(s.AcceptedTokens, func(token string) bool { return isBearer(got, token) })
}

// isBearer compares in constant time, so that a token can't be guessed byte by byte from response times.
func isBearer(header, token string) bool {
	return token != "" && subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+token)) == 1
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // The client has disconnected; the error can't be reported.
}
