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

// startAndStop runs a node of its own against the platform until it is registered, then calls fail and ends it. It
// returns the duration of the exit and the registered nodes after it.
func startAndStop(t *testing.T, fail func(*cloud.Platform)) (time.Duration, []model.Node) {
	t.Helper()
	lone := newLone(t)
	platform, settings, registry := lone.platform, lone.settings, lone.store
	n, err := node.New(node.Config{Settings: settings})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
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
	<-ended
	took := time.Since(start)
	require.NoError(t, platform.Faults.Set())
	nodes, err := registry.Nodes(t.Context())
	require.NoError(t, err)
	return took, nodes
}

// Guards against nodes that left and stay in the registry for a day, where starting nodes dial them.
func TestExitRemovesTheRegistryRow(t *testing.T) {
	_, nodes := startAndStop(t, func(*cloud.Platform) {})
	require.Empty(t, nodes)
}

// Guards against an exit that waits for a platform that is away.
func TestExitDoesNotWaitForThePlatform(t *testing.T) {
	usual, _ := startAndStop(t, func(*cloud.Platform) {})
	for _, rule := range []fault.Rule{
		{Kind: fault.Hang, Delay: model.Duration(time.Minute)},
		{Kind: fault.Away},
	} {
		took, nodes := startAndStop(t, func(p *cloud.Platform) { require.NoError(t, p.Faults.Set(rule)) })
		require.Less(t, took, usual+time.Second, "platform: %s", rule.Kind)
		require.Len(t, nodes, 1, "platform: %s", rule.Kind)
	}
}
