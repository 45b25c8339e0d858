package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func get(t *testing.T, handler http.Handler, path, token string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(http.MethodGet, path, nil)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// Guards against operator endpoints that serve requests without a valid token.
func TestOperatorEndpointsNeedToken(t *testing.T) {
	handler := New(Config{
		Token:          "secret",
		AcceptedTokens: []string{"previous", ""},
		Sections:       []Section{{Name: "members", Dump: func() any { return 3 }}},
		Health:         func() Health { return Health{Ready: true} },
		Tickets:        func() TicketReport { return TicketReport{Head: 7} },
	})
	for _, path := range []string{"/state", "/tickets", "/debug/pprof/heap"} {
		require.Equal(t, http.StatusUnauthorized, get(t, handler, path, "").Code)
		require.Equal(t, http.StatusUnauthorized, get(t, handler, path, "wrong").Code)
		require.Equal(t, http.StatusUnauthorized, get(t, handler, path, "").Code, "an empty accepted token grants no access")
		require.Equal(t, http.StatusOK, get(t, handler, path, "secret").Code)
		require.Equal(t, http.StatusOK, get(t, handler, path, "previous").Code)
	}
	require.Equal(t, http.StatusOK, get(t, handler, "/health", "").Code)
	require.Equal(t, http.StatusNotFound, get(t, handler, "/state?section=nothing", "secret").Code)
}

// Guards against an empty token in the settings that grants access to an empty bearer token.
func TestEmptyTokenRefusesEveryRequest(t *testing.T) {
	handler := New(Config{Health: func() Health { return Health{} }})
	request := httptest.NewRequest(http.MethodGet, "/state", nil)
	request.Header.Set("Authorization", "Bearer ")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	require.Equal(t, http.StatusUnauthorized, recorder.Code)
	require.Equal(t, http.StatusServiceUnavailable, get(t, handler, "/health", "").Code)
}
