package edge_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against a node that refuses a resend before it asked the key's owner and says not-run, although an earlier send
// ran: a node without a configuration, or with another one than the node of the earlier send.
func TestRefusalBeforeTheOwnerIsAskedIsUnknown(t *testing.T) {
	routes := []model.RouteSpec{
		{Name: "orders", PathPrefix: "/orders", Methods: []string{http.MethodPost}},
		{Name: "sheets", PathPrefix: "/sheets", Idempotent: true},
	}
	f := newFleet(t, fleetConfig{routes: routes, edge: edge.Config{KeyOwner: &fakeKeys{}}})
	bare, err := edge.New(edge.Config{View: &view.Holder{}, Picker: inOrder{}, KeyOwner: &fakeKeys{}})
	require.NoError(t, err)
	defer func() { require.NoError(t, bare.Close()) }()
	for name, c := range map[string]struct {
		handler        http.Handler
		method, path   string
		key, timeout   string
		body           io.Reader
		status         int
		outcome        model.Outcome
		withRetryAfter bool
	}{
		"no configuration":       {handler: bare, method: "POST", path: "/orders/1", key: "k", status: 502, outcome: "unknown", withRetryAfter: true},
		"no configuration, bare": {handler: bare, method: "POST", path: "/orders/1", status: 503, outcome: "not-run", withRetryAfter: true},
		"no route":               {method: "POST", path: "/reprints/1", key: "k", status: 404, outcome: "unknown"},
		"no route, no key":       {method: "POST", path: "/reprints/1", status: 404, outcome: "not-run"},
		"method":                 {method: "PUT", path: "/orders/1", key: "k", status: 405, outcome: "unknown"},
		"timeout":                {method: "POST", path: "/orders/1", key: "k", timeout: "soon", status: 400, outcome: "unknown"},
		"idempotent":             {method: "POST", path: "/sheets/1", key: "k", timeout: "soon", status: 400, outcome: "not-run"},
		"short body":             {method: "POST", path: "/orders/1", key: "k", body: io.LimitReader(strings.NewReader("ab"), 1), status: 400, outcome: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.handler == nil {
				c.handler = f.edge
			}
			r := httptest.NewRequest(c.method, c.path, c.body)
			if c.body != nil {
				r.ContentLength = 2
			}
			for header, value := range map[string]string{model.HeaderIdempotencyKey: c.key, model.HeaderTimeout: c.timeout} {
				if value != "" {
					r.Header.Set(header, value)
				}
			}
			w := httptest.NewRecorder()
			c.handler.ServeHTTP(w, r)
			require.Equal(t, c.status, w.Code, w.Body.String())
			require.Equal(t, string(c.outcome), w.Header().Get(model.HeaderOutcome))
			require.Contains(t, w.Body.String(), `"outcome":"`+string(c.outcome)+`"`)
			require.Equal(t, c.withRetryAfter, w.Header().Get("Retry-After") != "")
		})
	}
}
