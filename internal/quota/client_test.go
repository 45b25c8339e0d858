package quota

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against nodes whose shares do not reach the one that needs them, and against one that gets nothing any more once the
// node that holds the pool is gone.
func TestNodesShareOverTheNetwork(t *testing.T) {
	const size = 3
	quota := model.Quota{Rate: 12, Burst: 6}
	var nodes []model.Node
	var listeners []net.Listener
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		nodes = append(nodes, model.Node{
			Ref: model.NodeRef{ID: fmt.Sprint("node-", i), Incarnation: 1}, Domain: "a", PeerAddress: listener.Addr().String(),
		})
	}
	var clients []*Client
	for i := range size {
		self := nodes[i]
		self.Ref.Incarnation = 2
		c := New(Config{Self: self, Bounds: Bounds{Window: 5 * time.Second, Slack: 6}})
		server := rpc.NewServer()
		require.NoError(t, server.RegisterName(c.Service()))
		go server.Accept(listeners[i])
		c.SetNodes(nodes)
		c.Resume()
		c.SetAccounts([]model.ClientAccount{{Name: "a", Quota: quota}})
		clients = append(clients, c)
		defer c.Close()
	}
	// ownStock is what one node alone saves up.
	ownStock := (quota.Burst + 6) / size
	var retryAfter time.Duration // That of the refusal which ends the latest row; a moment later there may be a token again.
	inARow := func(c *Client) (n float64) {
		for {
			_, after, ok := c.Take(context.Background(), "a")
			if !ok {
				retryAfter = after
				return n
			}
			n++
		}
	}
	pool := clients[0].State().DomainPool
	require.Eventually(t, func() bool {
		pool = clients[0].State().DomainPool
		return pool != "" && pool == clients[1].State().DomainPool && pool == clients[2].State().DomainPool
	}, 20*time.Second, 10*time.Millisecond)
	user := clients[0]
	if pool == "node-0" {
		user = clients[1]
	}
	require.Eventually(t, func() bool { return inARow(user) > 2*ownStock }, 30*time.Second, 1500*time.Millisecond)
	for i, c := range clients {
		if nodes[i].Ref.ID == pool {
			c.Leave()
		}
	}
	require.Eventually(t, func() bool { return user.State().DomainPool != pool }, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return inARow(user) > ownStock }, 30*time.Second, 1500*time.Millisecond)
	require.Positive(t, retryAfter)
}
