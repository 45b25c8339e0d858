package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
)

// Pattern: the route of a request that crashes targets moves to another service, or is split. Guards against a crash
// count that restarts there, and against requests with other content or another host that share the count.
func TestFingerprintIgnoresService(t *testing.T) {
	g := &poisonGuard{}
	poison := edge.PoisonRequest{Host: "kassa.example", Service: "kassa", Method: "POST", Path: "/order/1", Query: "q=1", Body: []byte("body")}
	same, others := poison, []edge.PoisonRequest{poison, poison, poison, poison, poison}
	same.Service = "kassa-next"
	require.Equal(t, g.Fingerprint(poison), g.Fingerprint(same))
	others[0].Host, others[1].Method, others[2].Path, others[3].Query, others[4].Body = "x", "PUT", "/order/2", "", []byte("bodies")
	for _, other := range others {
		require.NotEqual(t, g.Fingerprint(poison), g.Fingerprint(other), "%+v", other)
	}
}
