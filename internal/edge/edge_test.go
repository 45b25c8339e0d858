package edge_test

import (
	"crypto/rand"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against responses that are changed, truncated or mislabelled on the way through edge and agent.
func TestResponseIsDelivered(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seen", r.Header.Get("X-Sent"))
		w.Header().Set("Auburnwinch-Outcome", "not-run")
		w.WriteHeader(http.StatusCreated)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	f := newFleet(t, fleetConfig{targets: []http.Handler{echo}})
	for _, size := range []int{0, 1, 4 << 10, 32 << 10, 33 << 10, 300 << 10, 3 << 20} {
		body := make([]byte, size)
		_, _ = rand.Read(body)
		for range 2 {
			got := f.send(http.MethodPost, "/orders/1?q=%2F", body, "X-Sent", "value")
			require.NoError(t, got.err, "size %d", size)
			require.Equal(t, http.StatusCreated, got.status, "size %d", size)
			require.Equal(t, "value", got.header.Get("X-Seen"))
			require.Equal(t, model.OutcomeDone, got.outcome())
			require.True(t, string(body) == string(got.body), "size %d: body differs", size)
		}
	}
}
