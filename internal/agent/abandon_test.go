package agent_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against a request that crashes targets undetected because its caller gave up before the target died, whether or
// not it is idempotent.
func TestAbandonedRequestsAreSuspect(t *testing.T) {
	cell := &view.Holder{}
	cell.Store(view.New(view.Config{Configuration: &model.Configuration{Number: 1, Services: []model.ServiceSpec{{
		Name: "shop", Routes: []model.RouteSpec{{Name: "read", Idempotent: true}, {Name: "order"}},
	}}}}))
	f := &fakes{}
	b := newFixture(t, agent.Config{PoisonDetector: f, View: cell})
	begun, done := make(chan struct{}, 2), make(chan struct{})
	target := b.announce(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-done
	}))
	for route, fingerprint := range map[string]string{"read": "1", "order": "2"} {
		ctx, cancel := context.WithCancel(t.Context())
		request := b.relayed(ctx, "")
		request.Header.Set(model.HeaderRoute, route)
		request.Header.Set(model.HeaderFingerprint, fingerprint)
		go func() {
			<-begun
			cancel()
		}()
		_, err := http.DefaultClient.Do(request)
		require.ErrorIs(t, err, context.Canceled)
	}
	require.Eventually(t, func() bool { return b.agent.InFlight() == 0 }, 5*time.Second, time.Millisecond)
	require.Empty(t, f.suspects)
	close(done)
	target.Close()
	response, _ := b.do(b.relayed(t.Context(), ""))
	require.Equal(t, relay.ReasonUnreachable, response.Header.Get(model.HeaderReason))
	require.ElementsMatch(t, []agent.Suspect{
		{Service: "shop", Fingerprint: 1, Idempotent: true, Abandoned: true}, {Service: "shop", Fingerprint: 2, Abandoned: true},
	}, f.suspects)
}
