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
	// shutdownLinger is how long requests are still accepted after the request to stop: the platform asks for readiness
	// once a second, and sends no more work after two refusals.
	shutdownLinger = 2500 * time.Millisecond
	// graceShare is the part of the grace within which requests in flight may end.
	graceShare = 0.84
	// answerTime bounds the last answers to callers.
	answerTime = 200 * time.Millisecond
	// flushTimeout bounds the last write of the record.
	flushTimeout = 100 * time.Millisecond
)

// Run serves until the context ends, then leaves gracefully.
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
	n.group.Go(func() { n.publishChanges(ctx) })
	_ = level.Info(n.config.FailureLogger).Log("msg", "node started", "incarnation", n.config.Self.Ref.Incarnation, "version", n.config.Version,
		"domain", n.config.Self.Domain, "region", n.config.Self.Region, "callers", n.config.Listeners.Callers, "relay", n.config.Listeners.Relay)
	<-ctx.Done()
	n.leave()
	n.giveUp()
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

// leave carries out the graceful shutdown.
func (n *Node) leave() {
	drain.Run(drain.RunConfig{
		Limits: drain.Config{Timeout: time.Duration(graceShare * float64(n.grace())), Linger: shutdownLinger},
		Clock:  n.config.Clock, Tick: shutdownTick, InFlight: n.inFlight, Step: n.leaveStep,
	})
}

func (n *Node) leaveStep(cmd drain.Cmd) drain.Msg {
	switch cmd := cmd.(type) {
	case drain.AnnounceLeavingCmd:
		n.announceLeaving()
	case drain.CloseListenersCmd:
		// A request that is taken now could not be finished. The listeners stay open, so that it is told so.
		n.closed.Store(true)
	case drain.HandOverKeysCmd:
		return drain.HandedOverMsg{Now: n.config.Clock.Now(), InFlight: n.inFlight()}
	case drain.ExitCmd:
		_ = level.Info(n.config.FailureLogger).Log("msg", "node stopped", "broken", cmd.Aborted)
	}
	return nil
}

// announceLeaving refuses relayed requests at once, because other targets can take them, and serves callers on.
func (n *Node) announceLeaving() {
	n.stopping.Store(true)
	n.agent.SetLeaving(true)
	n.edge.SetLeaving(true)
	n.nodes.StopServing()
	n.mu.Lock()
	n.record.Leaving = true
	n.publish()
	n.mu.Unlock()
	_ = level.Info(n.config.FailureLogger).Log("msg", "node leaves", "in-flight", n.inFlight())
}

// giveUp answers callers whose requests did not end in time. Most of these still wait for a slot and have not run.
func (n *Node) giveUp() {
	n.edge.AbortInFlight()
	for end := time.Now().Add(answerTime); n.edge.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(answerTime / 20)
	}
}

func (n *Node) inFlight() int {
	return n.edge.InFlight() + n.agent.InFlight()
}

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	n.publisher.Flush(ctx)
	cancel()
	n.closeListeners()
	for _, w := range n.watchers {
		w.Close()
	}
	n.publisher.Close()
	n.nodes.Close()
	_ = n.edge.Close()  // It only closes idle connections.
	_ = n.agent.Close() // It only closes idle connections.
	n.group.Wait()
}
