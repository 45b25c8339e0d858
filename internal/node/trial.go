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
	// trialTimeout leaves time for the spread that may precede the grant.
	trialTimeout = 2 * spreadTimeout
)

// trialID names a request.
type trialID struct {
	service     string
	fingerprint uint64
}

// SuspectArgs tell an agent which requests were in flight at a crash; net/rpc requires exported types.
type SuspectArgs struct {
	Node         model.NodeRef
	Service      string
	Fingerprints []uint64
}

// SuspectReply tells which of them run at the agent and which crashed a target there.
type SuspectReply struct {
	Running []uint64
	Crashed []uint64
}

// TrialArgs ask a node that saw a crash for the trial of the request.
type TrialArgs struct {
	Service     string
	Fingerprint uint64
}

// TrialReply permits the trial, or tells that the node does not suspect the request or has quarantined it.
type TrialReply struct {
	Granted     bool
	Cleared     bool
	Quarantined bool
}

// EndTrialArgs report the result of a trial.
type EndTrialArgs struct {
	Service     string
	Fingerprint uint64
	Survived    bool
}

// EndTrialReply acknowledges a result.
type EndTrialReply struct{}

// Poison serves the other nodes over net/rpc.
type Poison struct {
	suspicion *suspicion
}

// Suspect records a crash at another node. The running requests are read after the suspicion is in force, so that no
// request starts unseen in between.
func (p *Poison) Suspect(args SuspectArgs, reply *SuspectReply) error {
	s := p.suspicion
	cmds := s.update(poison.SuspectMsg{Now: s.clock.Now(), Node: args.Node, Service: args.Service, Fingerprints: args.Fingerprints})
	for _, cmd := range cmds {
		if c, ok := cmd.(poison.SuspectCmd); ok {
			reply.Crashed = c.Crashed
		}
	}
	for _, f := range args.Fingerprints {
		if s.runs(f) {
			reply.Running = append(reply.Running, f)
		}
	}
	return nil
}

// Trial decides about the trial of a request.
func (p *Poison) Trial(args TrialArgs, reply *TrialReply) error {
	*reply = p.suspicion.grant(args.Service, args.Fingerprint)
	return nil
}

// EndTrial records the result of a trial that this node granted.
func (p *Poison) EndTrial(args EndTrialArgs, _ *EndTrialReply) error {
	p.suspicion.endTrial(args)
	return nil
}

// Trial asks the nodes that saw the crash, this one included, until one of them grants the trial.
func (s *suspicion) Trial(ctx context.Context, suspect agent.Suspect) agent.TrialVerdict {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	for _, ref := range s.authorities(suspect) {
		reply, ok := s.askTrial(ctx, ref, suspect)
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

// EndTrial reports the result to the nodes that may have granted the trial; only the one that did so acts on it.
func (s *suspicion) EndTrial(suspect agent.Suspect, survived bool) {
	args := EndTrialArgs{Service: suspect.Service, Fingerprint: suspect.Fingerprint, Survived: survived}
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
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
			_ = level.Warn(s.logger).Log("msg", "result of a trial not reported; the request stays suspect", "peer", ref.ID, "err", err)
		}
	}
}

func (s *suspicion) askTrial(ctx context.Context, ref model.NodeRef, suspect agent.Suspect) (reply TrialReply, ok bool) {
	if ref == s.self {
		return s.grant(suspect.Service, suspect.Fingerprint), true
	}
	node, ok := s.fleet.Node(ref)
	if !ok {
		return reply, false
	}
	args := TrialArgs{Service: suspect.Service, Fingerprint: suspect.Fingerprint}
	if err := s.peers.Call(ctx, node, methodTrial, args, &reply); err != nil {
		_ = level.Warn(s.logger).Log("msg", "trial not granted", "peer", ref.ID, "err", err)
		return reply, false
	}
	return reply, true
}

// grant decides about a trial, and once more when the suspicion had to be spread first.
func (s *suspicion) grant(service string, fingerprint uint64) TrialReply {
	msg := poison.TrialMsg{Now: s.clock.Now(), Service: service, Fingerprint: fingerprint}
	granted, spread := s.tryGrant(msg)
	if !granted && spread != nil && s.spread(*spread) {
		granted, _ = s.tryGrant(msg)
	}
	verdict := s.module.Snapshot().Verdict(service, fingerprint)
	return TrialReply{Granted: granted, Cleared: verdict == poison.Clear, Quarantined: verdict == poison.Quarantined}
}

func (s *suspicion) tryGrant(msg poison.TrialMsg) (granted bool, spread *poison.BroadcastCmd) {
	for _, cmd := range s.update(msg) {
		switch c := cmd.(type) {
		case poison.TrialCmd:
			granted = c.Granted
		case poison.BroadcastCmd:
			spread = &c
		}
	}
	return granted, spread
}

func (s *suspicion) endTrial(args EndTrialArgs) {
	s.update(poison.TrialEndMsg{
		Now: s.clock.Now(), Service: args.Service, Fingerprint: args.Fingerprint, Survived: args.Survived,
	})
}

func (s *suspicion) authorities(suspect agent.Suspect) []model.NodeRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Authorities(suspect.Service, suspect.Fingerprint)
}

// spread sends the suspicion to all agents of the service; it returns false when that is being done already, so that
// many senders of one request do not multiply the calls.
func (s *suspicion) spread(cmd poison.BroadcastCmd) bool {
	if !s.beginSpread(cmd) {
		return false
	}
	defer s.endSpread(cmd)
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	var mu sync.Mutex
	done := poison.BroadcastDoneMsg{Service: cmd.Service, Fingerprints: cmd.Fingerprints}
	for _, f := range cmd.Fingerprints {
		if s.runs(f) {
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
				_ = level.Warn(s.logger).Log("msg", "crash not reported; the node learns it from the record", "peer", node.Ref.ID, "err", err)
				return
			}
			s.noteReport(cmd, node.Ref)
			done.Running, done.Crashed = append(done.Running, reply.Running...), append(done.Crashed, reply.Crashed...)
		})
	}
	calls.Wait()
	done.Now = s.clock.Now()
	s.update(done)
	return true
}

func (s *suspicion) beginSpread(cmd poison.BroadcastCmd) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cmd.Fingerprints {
		if s.spreading[trialID{cmd.Service, f}] {
			return false
		}
	}
	for _, f := range cmd.Fingerprints {
		s.spreading[trialID{cmd.Service, f}] = true
	}
	return true
}

func (s *suspicion) endSpread(cmd poison.BroadcastCmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cmd.Fingerprints {
		delete(s.spreading, trialID{cmd.Service, f})
	}
}

// youngAge is the age below which a node counts as an agent of every service: its targets may have announced themselves
// already in a version of its record that is still on its way.
const youngAge = time.Minute

// agents returns the other nodes with targets of the service, and those that have just started. Leaving ones are among
// them, since they finish what runs.
func (s *suspicion) agents(service string) []model.Node {
	snapshot := s.fleet.members.Load()
	if snapshot == nil {
		return nil
	}
	// An incarnation is the start of the node in microseconds.
	youngest := uint64(s.clock.Now().Add(-youngAge).UnixMicro())
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
