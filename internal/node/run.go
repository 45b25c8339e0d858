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

// Run serves until the context ends, then leaves the fleet gracefully.
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
	n.leave()
	n.group.Go(n.unregister)
	n.close()
	n.group.Wait()
	return nil
}

// join waits until the membership is known. Keys and tokens carry the incarnation that was drawn at the start; a peer
// that knows a later one of this node shows that the clock of the VM went back, and the node must not serve under it.
func (n *Node) join(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.peer.Joined():
	}
	if known := n.peer.Self().Ref; known != n.self.Ref {
		_ = level.Error(n.logger).Log("msg", "peers know a later incarnation of this node; set the clock of the VM and start the node again",
			"incarnation", n.self.Ref.Incarnation, "known", known.Incarnation)
		n.cancel()
		return
	}
	n.joined.Store(true)
	n.tickets.SetPeers(nodesOf(n.peer.Snapshot()))
}

// leave carries out the graceful shutdown.
func (n *Node) leave() {
	drain.Run(drain.RunConfig{
		Limits: drain.Config{Timeout: time.Duration(n.config.Settings.ShutdownTimeout)},
		Clock:  n.config.Clock, Tick: shutdownTick, InFlight: n.inFlight, Step: n.leaveStep,
	})
}

// leaveStep carries out one command of the shutdown and returns the message that follows, if any.
func (n *Node) leaveStep(cmd drain.Cmd) drain.Msg {
	switch cmd := cmd.(type) {
	case drain.AnnounceLeavingCmd:
		n.announceLeaving()
	case drain.CloseListenersCmd:
		n.closeCallers()
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

// closeCallers stops accepting connections and closes the idle ones; requests in flight go on.
func (n *Node) closeCallers() {
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.Settings.ShutdownTimeout))
		defer cancel()
		_ = n.listeners.callers.Server.Shutdown(ctx) // The requests in flight are counted by the edge itself.
	})
}

func (n *Node) handOver() {
	successor, ok := n.successor()
	if !ok {
		_ = level.Warn(n.logger).Log("msg", "no node takes over the idempotency keys; their resends get the outcome unknown")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.owner.Handover(ctx, successor); err != nil {
		_ = level.Warn(n.logger).Log("msg", "idempotency keys not handed over", "successor", successor.Ref, "err", err)
	}
}

func (n *Node) successor() (model.Node, bool) {
	return n.peer.Snapshot().ChooseSuccessor(n.self)
}

func (n *Node) inFlight() int {
	return n.edge.InFlight() + n.agent.InFlight()
}

// close ends all parts that were built; it is safe at any point of the construction.
func (n *Node) close() {
	n.closing.Do(func() {
		n.closeListeners()
		n.closeParts()
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

func (n *Node) closeParts() {
	if n.tickets != nil {
		_ = n.tickets.Close() // It only stops reading.
	}
	if n.edge != nil {
		_ = n.edge.Close() // It only closes idle connections.
	}
	if n.agent != nil {
		_ = n.agent.Close() // It only closes idle connections.
	}
	if n.owner != nil {
		n.owner.Close()
	}
	if n.ledger != nil {
		n.ledger.Close()
	}
	if n.suspicion != nil {
		n.suspicion.close()
	}
	n.tls.close()
	if n.peer != nil {
		_ = n.peer.Close() // The process ends; peers detect the closed sockets.
	}
	if n.viewer != nil {
		n.viewer.close()
	}
	if n.paths != nil {
		n.paths.Close()
		n.targets.Close()
	}
}
