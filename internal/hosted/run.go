package hosted

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/drain"
	"github.com/auburnwinch/auburnwinch/internal/roster"
)

const (
	shutdownTick = 50 * time.Millisecond
	// shutdownLinger is how long requests are still accepted after the termination signal. The platform probes
	// readiness once a second and stops sending requests after two failed probes.
	shutdownLinger = 2500 * time.Millisecond
	// relayLinger is how long the target beside the node still gets requests of other nodes after the signal. Only the node can pass
	// them on, so that without it the target is idle until the next process has its heartbeat. The rest of shutdownLinger is for
	// requests on their way; other nodes hear of the end at the first refusal.
	relayLinger = 2 * time.Second
	// drainShare is the fraction of the grace period in which requests in flight may complete.
	drainShare = 0.84
	// minRunTime is the time before the end of drainShare in which requests that have not run are refused instead of started.
	// Most requests take less.
	minRunTime = time.Second
	// finalAnswerWait bounds the wait for the final answers to callers.
	finalAnswerWait = 200 * time.Millisecond
	// flushTimeout bounds the last write of the node's record.
	flushTimeout = 100 * time.Millisecond
)

// Run serves until the context is canceled and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(ctx)
	defer n.cancel()
	for _, l := range n.listeners {
		n.serve(l)
	}
	n.startPublisher()
	n.watch()
	n.group.Go(func() { n.checkStalls(ctx) })
	n.group.Go(func() { n.checkPaths(ctx) })
	n.group.Go(func() { n.checkConfirmations(ctx) })
	publishing, stopPublishing := context.WithCancel(context.Background())
	n.group.Go(func() { n.publishChanges(publishing) })
	_ = level.Info(n.config.FailureLogger).Log("msg", "node started", "incarnation", n.config.Self.Ref.Incarnation, "version", n.config.Version,
		"domain", n.config.Self.Domain, "region", n.config.Self.Region, "callers", n.config.Listeners.Callers, "relay", n.config.Listeners.Relay)
	<-ctx.Done()
	n.shutDown()
	n.abortInFlight()
	n.closeListeners()
	stopPublishing()
	n.flush()
	n.close()
	return nil
}

func (n *Node) startPublisher() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publisher = roster.NewPublisher(roster.PublisherConfig{
		Table: n.nodes, Partition: n.config.Self.Domain, Key: n.config.Self.Ref.ID, Logger: n.config.FailureLogger,
	})
}

// shutDown performs the graceful shutdown.
func (n *Node) shutDown() {
	timeout := share(n.grace(), drainShare)
	drain.Run(drain.RunConfig{
		Limits: drain.Config{
			Timeout: timeout, Linger: shutdownLinger, RelayLinger: max(shutdownTick, min(relayLinger, timeout-minRunTime)), MinRunTime: minRunTime,
		},
		Clock: n.config.Clock, Tick: shutdownTick, InFlight: n.inFlight, Step: n.shutdownStep,
	})
}

func (n *Node) shutdownStep(cmd drain.Cmd) drain.Msg {
	switch cmd := cmd.(type) {
	case drain.AnnounceLeavingCmd:
		n.announceLeaving()
	case drain.StopRelayingCmd:
		n.stopRelaying()
	case drain.CloseListenersCmd:
		// A request accepted now could not be completed. The listeners stay open so that it receives a response.
		n.refuseCallers.Store(true)
	case drain.StopAdmittingCmd:
		_ = level.Info(n.config.FailureLogger).Log("msg", "waiting requests refused", "in-flight", n.inFlight())
		n.edge.StopAdmitting()
	case drain.HandOverKeysCmd:
		return drain.HandedOverMsg{Now: n.config.Clock.Now(), InFlight: n.inFlight()}
	case drain.ExitCmd:
		_ = level.Info(n.config.FailureLogger).Log("msg", "node stopped", "broken", cmd.Aborted)
	}
	return nil
}

// announceLeaving has callers and followers go elsewhere. Requests that arrive nevertheless are still served.
func (n *Node) announceLeaving() {
	n.stopping.Store(true)
	n.edge.SetLeaving(true)
	n.nodes.StopServing()
	_ = level.Info(n.config.FailureLogger).Log("msg", "node leaving", "in-flight", n.inFlight())
}

// stopRelaying refuses relayed requests, because other targets can run them, and continues to serve callers.
func (n *Node) stopRelaying() {
	n.relayStopped.Store(true)
	n.agent.SetLeaving(true)
	n.quotas.Leave()
	n.publish()
}

// abortInFlight answers callers whose requests did not complete in time. Most of these requests still wait for a slot
// and have not run.
func (n *Node) abortInFlight() {
	n.edge.AbortInFlight()
	for end := time.Now().Add(finalAnswerWait); n.edge.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(finalAnswerWait / 20)
	}
}

func (n *Node) inFlight() int {
	return n.edge.InFlight() + n.agent.InFlight()
}

// flush writes the last changes of the record. The listeners must be closed, so that no more changes come from them.
func (n *Node) flush() {
	n.publish()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := n.publisher.Flush(ctx); err != nil {
		_ = level.Warn(n.config.FailureLogger).Log("msg", "the last record of the node was not stored", "err", err)
	}
}

func (n *Node) close() {
	for _, w := range n.watchers {
		w.Close()
	}
	n.publisher.Close()
	n.nodes.Close()
	n.quotas.Close()
	n.purse.Close()
	_ = n.edge.Close()  // Only closes idle connections.
	_ = n.agent.Close() // Only closes idle connections.
	n.group.Wait()
}
