package poison

import (
	"context"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ServiceName is the name under which Calls must be registered with net/rpc.
const ServiceName = "Poison"

// Names of the methods that Calls serves.
const (
	methodSuspect  = ServiceName + ".Suspect"
	methodTrial    = ServiceName + ".Trial"
	methodEndTrial = ServiceName + ".EndTrial"
)

// SuspectArgs carry the suspicions of an agent whose target crashed.
type SuspectArgs struct {
	Node         model.NodeRef
	Service      string
	Fingerprints []uint64
}

// SuspectReply lists what the called agent runs itself and what crashed its own targets.
type SuspectReply struct {
	Running []uint64
	Crashed []uint64
}

// TrialArgs ask for a trial or report its end.
type TrialArgs struct {
	Authority   model.NodeRef
	Service     string
	Fingerprint uint64
	Survived    bool
}

// TrialReply tells whether the trial is granted.
type TrialReply struct {
	Granted bool
}

// Calls serves the guard to other nodes; register it with net/rpc under ServiceName.
type Calls struct {
	guard *Guard
}

// NewCalls returns the net/rpc receiver of a node.
func NewCalls(g *Guard) *Calls {
	return &Calls{guard: g}
}

// Suspect takes over the suspicions of another agent.
func (c *Calls) Suspect(args SuspectArgs, reply *SuspectReply) error {
	g := c.guard
	cmds := g.update(SuspectMsg{
		Now: g.now(), Node: args.Node, Service: args.Service, Fingerprints: args.Fingerprints,
	})
	suspect := cmds[0].(SuspectCmd)
	// What started before the suspicion was known is listed now; nothing starts afterwards.
	*reply = SuspectReply{Running: g.config.Running(args.Service, args.Fingerprints), Crashed: suspect.Crashed}
	return nil
}

// Trial grants the trial of a suspect at most once.
func (c *Calls) Trial(args TrialArgs, reply *TrialReply) error {
	if args.Authority != c.guard.config.Self {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadRounds*callTimeout)
	defer cancel()
	reply.Granted = c.guard.Trial(ctx, args.Service, args.Fingerprint)
	return nil
}

// EndTrial takes the result of a granted trial.
func (c *Calls) EndTrial(args TrialArgs, _ *TrialReply) error {
	if args.Authority == c.guard.config.Self {
		c.guard.EndTrial(args.Service, args.Fingerprint, args.Survived)
	}
	return nil
}

// AskTrial asks the agent that crashed, for an edge, whether the suspect may be tried once more.
func AskTrial(ctx context.Context, p Peers, authority model.Node, service string, fingerprint uint64) (bool, error) {
	reply := TrialReply{}
	args := TrialArgs{Authority: authority.Ref, Service: service, Fingerprint: fingerprint}
	err := p.Call(ctx, authority, methodTrial, args, &reply)
	return err == nil && reply.Granted, err
}

// TellTrial reports the end of a granted trial to the agent that granted it; when it fails, the suspicion just expires.
func TellTrial(ctx context.Context, p Peers, authority model.Node, service string, fingerprint uint64, survived bool) error {
	args := TrialArgs{Authority: authority.Ref, Service: service, Fingerprint: fingerprint, Survived: survived}
	return p.Call(ctx, authority, methodEndTrial, args, &TrialReply{})
}
