package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/node"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// startAndStop runs a single node until it is registered at the platform, then calls fail and stops the node. It
// returns the duration of the shutdown and the nodes that are registered afterwards.
func startAndStop(t *testing.T, fail func(*cloud.Platform)) (time.Duration, []model.Node) {
	t.Helper()
	single := newSingleNode(t)
	platform, settings, registry := single.platform, single.settings, single.store
	n, err := node.New(node.Config{Settings: settings})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = n.Run(ctx)
	}()
	registered := func() bool {
		nodes, err := registry.Nodes(t.Context())
		return err == nil && len(nodes) == 1
	}
	require.Eventually(t, registered, readyTimeout, 20*time.Millisecond, "the node registers itself")
	fail(platform)
	start := time.Now()
	stop()
	<-stopped
	duration := time.Since(start)
	require.NoError(t, platform.Faults.Set())
	nodes, err := registry.Nodes(t.Context())
	require.NoError(t, err)
	return duration, nodes
}

// Guards against nodes that have left but stay in the registry for a day, where starting nodes dial them.
func TestExitRemovesTheRegistryRow(t *testing.T) {
	_, nodes := startAndStop(t, func(*cloud.Platform) {})
	require.Empty(t, nodes)
}

// Guards against a shutdown that waits for an unavailable platform.
func TestExitDoesNotWaitForThePlatform(t *testing.T) {
	usual, _ := startAndStop(t, func(*cloud.Platform) {})
	for _, rule := range []fault.Rule{
		{Kind: fault.Hang, Delay: model.Duration(time.Minute)},
		{Kind: fault.Away},
	} {
		duration, nodes := startAndStop(t, func(p *cloud.Platform) { require.NoError(t, p.Faults.Set(rule)) })
		require.Less(t, duration, usual+time.Second, "platform: %s", rule.Kind)
		require.Len(t, nodes, 1, "platform: %s", rule.Kind)
	}
}
