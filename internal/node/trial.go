package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	methodSuspect  = poisonService + ".Suspect"
	methodTrial    = poisonService + ".Trial"
	methodEndTrial = poisonService + ".EndTrial"
	// trialTimeout leaves time for the broadcast that may precede the grant.
	trialTimeout = 2 * broadcastTimeout
)

// suspectID identifies a suspect request.
type suspectID struct {
	service     string
	fingerprint uint64
}

// SuspectArgs lists the requests that were in flight at a crash; net/rpc requires exported types.
type SuspectArgs struct {
	Node         model.NodeRef
	Service      string
	Fingerprints []uint64
}

// SuspectReply lists which of them run at the agent and which have crashed a target there.
type SuspectReply struct {
	Running []uint64
	Crashed []uint64
}

// TrialArgs asks a node that saw a crash for permission to run the request as a trial.
type TrialArgs struct {
	Service     string
	Fingerprint uint64
}

// TrialReply grants the trial, or reports that the node does not suspect the request or has quarantined it.
type TrialReply struct {
	Granted     bool
	Cleared     bool
	Quarantined bool
}

// EndTrialArgs reports the result of a trial.
type EndTrialArgs struct {
	Service     string
	Fingerprint uint64
	Survived    bool
}

// EndTrialReply acknowledges the result of a trial.
type EndTrialReply struct{}

// PoisonReceiver serves the poison detection of other nodes over net/rpc.
type PoisonReceiver struct {
	detector *poisonDetector
}

// Suspect records a crash at another node. The running requests are read after the suspicion is recorded, so that no
// request starts unnoticed in between.
func (p *PoisonReceiver) Suspect(args SuspectArgs, reply *SuspectReply) error {
	s := p.detector
	cmds := s.update(poison.SuspectMsg{Now: s.clock.Now(), Node: args.Node, Service: args.Service, Fingerprints: args.Fingerprints})
	for _, cmd := range cmds {
		if c, ok := cmd.(poison.SuspectCmd); ok {
			reply.Crashed = c.Crashed
		}
	}
	for _, f := range args.Fingerprints {
		if s.isRunning(f) {
			reply.Running = append(reply.Running, f)
		}
	}
	return nil
}

// Trial decides whether to grant the trial of a request.
func (p *PoisonReceiver) Trial(args TrialArgs, reply *TrialReply) error {
	*reply = p.detector.grant(args.Service, args.Fingerprint)
	return nil
}

// EndTrial records the result of a trial that this node granted.
func (p *PoisonReceiver) EndTrial(args EndTrialArgs, _ *EndTrialReply) error {
	p.detector.endTrial(args)
	return nil
}

// Trial asks the nodes that saw the crash, including this one, until one of them grants the trial.
func (s *poisonDetector) Trial(ctx context.Context, suspect agent.Suspect) agent.TrialVerdict {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	for _, ref := range s.authorities(suspect) {
		reply, ok := s.requestTrial(ctx, ref, suspect)
		switch {
		case !ok:
		case reply.Granted:
			return agent.TrialGranted
		case reply.Quarantined:
			return agent.TrialQuarantined
		case reply.Cleared:
			s.update(poison.ClearMsg{Node: ref, Service: suspect.Service, Fingerprint: suspect.Fingerprint})
		}
	}
	switch s.Verdict(suspect.Service, suspect.Fingerprint) {
	case agent.PoisonClear:
		return agent.TrialUnneeded
	case agent.PoisonQuarantined:
		return agent.TrialQuarantined
	default:
		return agent.TrialRefused
	}
}

// EndTrial reports the result to the nodes that may have granted the trial; only the one that granted it acts on it.
func (s *poisonDetector) EndTrial(suspect agent.Suspect, survived bool) {
	args := EndTrialArgs{Service: suspect.Service, Fingerprint: suspect.Fingerprint, Survived: survived}
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	for _, ref := range s.authorities(suspect) {
		if ref == s.self {
			s.endTrial(args)
			continue
		}
		node, ok := s.fleet.Node(ref)
		if !ok {
			continue
		}
		if err := s.peers.Call(ctx, node, methodEndTrial, args, &EndTrialReply{}); err != nil {
			_ = level.Warn(s.logger).Log("msg", "reporting the result of a trial failed; the request stays suspect", "peer", ref.ID, "err", err)
		}
	}
}

func (s *poisonDetector) requestTrial(ctx context.Context, ref model.NodeRef, suspect agent.Suspect) (reply TrialReply, ok bool) {
	if ref == s.self {
		return s.grant(suspect.Service, suspect.Fingerprint), true
	}
	node, ok := s.fleet.Node(ref)
	if !ok {
		return reply, false
	}
	args := TrialArgs{Service: suspect.Service, Fingerprint: suspect.Fingerprint}
	if err := s.peers.Call(ctx, node, methodTrial, args, &reply); err != nil {
		_ = level.Warn(s.logger).Log("msg", "requesting a trial failed", "peer", ref.ID, "err", err)
		return reply, false
	}
	return reply, true
}

// grant decides on a trial, and a second time if the suspicion had to be broadcast first.
func (s *poisonDetector) grant(service string, fingerprint uint64) TrialReply {
	msg := poison.TrialMsg{Now: s.clock.Now(), Service: service, Fingerprint: fingerprint}
	granted, pending := s.tryGrant(msg)
	if !granted && pending != nil && s.broadcast(*pending) {
		granted, _ = s.tryGrant(msg)
	}
	verdict := s.module.Snapshot().Verdict(service, fingerprint)
	return TrialReply{Granted: granted, Cleared: verdict == poison.Clear, Quarantined: verdict == poison.Quarantined}
}

func (s *poisonDetector) tryGrant(msg poison.TrialMsg) (granted bool, pending *poison.BroadcastCmd) {
	for _, cmd := range s.update(msg) {
		switch c := cmd.(type) {
		case poison.TrialCmd:
			granted = c.Granted
		case poison.BroadcastCmd:
			pending = &c
		}
	}
	return granted, pending
}

func (s *poisonDetector) endTrial(args EndTrialArgs) {
	s.update(poison.TrialEndMsg{
		Now: s.clock.Now(), Service: args.Service, Fingerprint: args.Fingerprint, Survived: args.Survived,
	})
}

func (s *poisonDetector) authorities(suspect agent.Suspect) []model.NodeRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Authorities(suspect.Service, suspect.Fingerprint)
}

// broadcast reports the crash to all agents of the service; it returns false if a broadcast is already running, so that
// many senders of one request do not multiply the calls.
func (s *poisonDetector) broadcast(cmd poison.BroadcastCmd) bool {
	if !s.beginBroadcast(cmd) {
		return false
	}
	defer s.endBroadcast(cmd)
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var mu sync.Mutex
	done := poison.BroadcastDoneMsg{Service: cmd.Service, Fingerprints: cmd.Fingerprints}
	for _, f := range cmd.Fingerprints {
		if s.isRunning(f) {
			done.Running = append(done.Running, f)
		}
	}
	var calls conc.WaitGroup
	for _, node := range s.agents(cmd.Service) {
		calls.Go(func() {
			args := SuspectArgs{Node: s.self, Service: cmd.Service, Fingerprints: cmd.Fingerprints}
			var reply SuspectReply
			err := s.peers.Call(ctx, node, methodSuspect, args, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				done.Unreachable++
				_ = level.Warn(s.logger).Log("msg", "reporting a crash failed; the peer will learn of it from the record", "peer", node.Ref.ID, "err", err)
				return
			}
			s.markReported(cmd, node.Ref)
			done.Running, done.Crashed = append(done.Running, reply.Running...), append(done.Crashed, reply.Crashed...)
		})
	}
	calls.Wait()
	done.Now = s.clock.Now()
	s.update(done)
	return true
}

func (s *poisonDetector) beginBroadcast(cmd poison.BroadcastCmd) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cmd.Fingerprints {
		if s.broadcasting[suspectID{cmd.Service, f}] {
			return false
		}
	}
	for _, f := range cmd.Fingerprints {
		s.broadcasting[suspectID{cmd.Service, f}] = true
	}
	return true
}

func (s *poisonDetector) endBroadcast(cmd poison.BroadcastCmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cmd.Fingerprints {
		delete(s.broadcasting, suspectID{cmd.Service, f})
	}
}

// newNodeAge is the age below which a node counts as an agent of every service: its targets may already be announced in
// a version of its record that has not arrived yet.
const newNodeAge = time.Minute

// agents returns the other nodes with targets of the service, and those that have just started. Leaving nodes are
// included, since they finish their running requests.
func (s *poisonDetector) agents(service string) []model.Node {
	snapshot := s.fleet.members.Load()
	if snapshot == nil {
		return nil
	}
	// An incarnation is the start time of the node in microseconds.
	youngest := uint64(s.clock.Now().Add(-newNodeAge).UnixMicro())
	var nodes []model.Node
	for i := range snapshot.Records {
		record := &snapshot.Records[i]
		if record.Node.Ref != s.self && (record.Node.Ref.Incarnation > youngest || hasTarget(record, service)) {
			nodes = append(nodes, record.Node)
		}
	}
	return nodes
}

func hasTarget(record *member.NodeRecord, service string) bool {
	return slices.ContainsFunc(record.Targets, func(t model.Target) bool { return t.Ref.Service == service })
}
