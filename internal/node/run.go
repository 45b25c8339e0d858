package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/drain"
	"github.com/auburnwinch/auburnwinch/internal/listen"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	shutdownTick    = 50 * time.Millisecond
	handoverTimeout = 2 * time.Second
	closeTimeout    = time.Second
)

// Run serves until the context ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(ctx)
	defer n.cancel()
	for _, l := range []*listen.Listener{n.listeners.callers, n.listeners.relay, n.listeners.local, n.listeners.admin} {
		n.serve(l)
	}
	n.group.Go(func() { n.register(ctx) })
	n.group.Go(func() { n.join(ctx) })
	_ = level.Info(n.logger).Log("msg", "node started", "incarnation", n.self.Ref.Incarnation, "version", n.config.Version,
		"callers", n.self.CallerAddress, "relay", n.self.RelayAddress, "peers", n.self.PeerAddress)
	<-ctx.Done()
	n.shutdown()
	n.group.Go(n.removeRegistration)
	n.close()
	n.group.Wait()
	return nil
}

// join waits until the membership is known. Keys and tokens carry the incarnation, which is taken from the clock at the
// start. If a peer knows a later incarnation of this node, the clock of the VM has been set back, and the node must not
// serve.
func (n *Node) join(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.peer.Joined():
	}
	if known := n.peer.Self().Ref; known != n.self.Ref {
		_ = level.Error(n.logger).Log("msg", "peers know a later incarnation of this node; correct the clock of the VM and restart the node",
			"incarnation", n.self.Ref.Incarnation, "known", known.Incarnation)
		n.cancel()
		return
	}
	n.joined.Store(true)
	n.tickets.SetPeers(stayingNodes(n.peer.Snapshot()))
}

// shutdown runs the graceful shutdown.
func (n *Node) shutdown() {
	drain.Run(drain.RunConfig{
		Limits: drain.Config{Timeout: time.Duration(n.config.Settings.ShutdownTimeout)},
		Clock:  n.config.Clock, Tick: shutdownTick, InFlight: n.inFlight, Step: n.shutdownStep,
	})
}

// shutdownStep executes one command of the shutdown and returns the resulting message, if any.
func (n *Node) shutdownStep(cmd drain.Cmd) drain.Msg {
	switch cmd := cmd.(type) {
	case drain.AnnounceLeavingCmd:
		n.announceLeaving()
	case drain.CloseListenersCmd:
		n.closeCallerListener()
	case drain.HandOverKeysCmd:
		n.handOver()
		return drain.HandedOverMsg{Now: n.config.Clock.Now(), InFlight: n.inFlight()}
	case drain.ExitCmd:
		_ = level.Info(n.logger).Log("msg", "node stopped", "broken", cmd.Aborted)
	}
	return nil
}

func (n *Node) announceLeaving() {
	successor, _ := n.successor()
	_ = level.Info(n.logger).Log("msg", "node leaves the fleet", "successor", successor.Ref)
	n.agent.SetLeaving(true)
	n.edge.SetLeaving(true)
	n.record.setLeaving(successor.Ref)
}

// closeCallerListener stops accepting connections of callers and closes idle ones; requests in flight continue.
func (n *Node) closeCallerListener() {
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.Settings.ShutdownTimeout))
		defer cancel()
		_ = n.listeners.callers.Server.Shutdown(ctx) // The edge itself counts the requests in flight.
	})
}

func (n *Node) handOver() {
	successor, ok := n.successor()
	if !ok {
		_ = level.Warn(n.logger).Log("msg", "no successor for the idempotency keys; resends with these keys will get the outcome unknown")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.owner.Handover(ctx, successor); err != nil {
		_ = level.Warn(n.logger).Log("msg", "handover of the idempotency keys failed", "successor", successor.Ref, "err", err)
	}
}

func (n *Node) successor() (model.Node, bool) {
	return n.peer.Snapshot().ChooseSuccessor(n.self)
}

func (n *Node) inFlight() int {
	return n.edge.InFlight() + n.agent.InFlight()
}

// close stops all components that were created; it may be called at any point of the construction.
func (n *Node) close() {
	n.closeOnce.Do(func() {
		n.closeListeners()
		n.closeComponents()
	})
}

func (n *Node) closeListeners() {
	for _, l := range []*listen.Listener{n.listeners.callers, n.listeners.relay, n.listeners.local, n.listeners.admin} {
		if l == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		l.Close(ctx)
		cancel()
	}
}

func (n *Node) closeComponents() {
	if n.tickets != nil {
		_ = n.tickets.Close() // Close only stops reading.
	}
	if n.edge != nil {
		_ = n.edge.Close() // Close only closes idle connections.
	}
	if n.agent != nil {
		_ = n.agent.Close() // Close only closes idle connections.
	}
	if n.owner != nil {
		n.owner.Close()
	}
	if n.ledger != nil {
		n.ledger.Close()
	}
	if n.poisonDetector != nil {
		n.poisonDetector.close()
	}
	n.certs.close()
	if n.peer != nil {
		_ = n.peer.Close() // The process exits; peers detect the closed sockets.
	}
	if n.viewUpdater != nil {
		n.viewUpdater.close()
	}
	if n.pathTracker != nil {
		n.pathTracker.Close()
		n.targetTracker.Close()
	}
}
