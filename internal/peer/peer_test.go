package peer

import (
	"context"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

const testSecret = "a secret of the test fleet"

// DoubleReceiver is a service of the kind that other packages add.
type DoubleReceiver struct{}

// Double returns twice its argument.
func (DoubleReceiver) Double(n int, reply *int) error {
	*reply = 2 * n
	return nil
}

func startPeer(t *testing.T, id string, change func(*Config)) *Peer {
	t.Helper()
	c := Config{
		Self:     model.Node{Ref: model.NodeRef{ID: id}, Domain: "n1", Region: "norte"},
		Listen:   "127.0.0.1:0",
		Secret:   []byte(testSecret),
		Services: []Service{{Name: "Double", Receiver: DoubleReceiver{}}},
	}
	if change != nil {
		change(&c)
	}
	p, err := New(c)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

func withSeed(seed *Peer) func(*Config) {
	return func(c *Config) { c.Seeds = []string{seed.Self().PeerAddress} }
}

// Guards against nodes that join through a seed but do not learn each other's targets.
func TestJoinBySeed(t *testing.T) {
	a := startPeer(t, "a", nil)
	b := startPeer(t, "b", withSeed(a))
	target := model.Target{Ref: model.TargetRef{Service: "courtview", ID: "c1", Incarnation: 1}, Slots: 7}
	b.SetLocal(member.Local{Targets: []model.Target{target}})
	require.Eventually(t, func() bool {
		r := a.Snapshot().Record("b")
		return r != nil && len(r.Targets) == 1 && b.Snapshot().Record("a") != nil
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against calls to added services that fail or mix up answers.
func TestCall(t *testing.T) {
	a, b := startPeer(t, "a", nil), startPeer(t, "b", nil)
	for n := range 20 {
		var reply int
		require.NoError(t, a.Call(context.Background(), b.Self(), "Double.Double", n, &reply))
		require.Equal(t, 2*n, reply)
	}
}
