package once

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func (o *Owner) fence(ctx context.Context, e *sendState, c FenceCmd) Cmd {
	reply := o.fenceCall(ctx, e, *c.Agent)
	return o.update(e.id, e.fenced(o.now(), c, reply))
}

func (o *Owner) fenceCall(ctx context.Context, e *sendState, agent model.Node) FenceReply {
	fingerprint := o.fingerprint(e)
	if o.local(agent) {
		return FenceReply(o.config.Ledger.fence(FenceMsg{ID: e.id, Agent: agent.Ref, Fingerprint: fingerprint}))
	}
	reply := FenceReply{}
	args := FenceArgs{Agent: agent.Ref, Key: e.key, Fingerprint: fingerprint}
	if err := o.call(ctx, agent, methodFence, args, &reply); err != nil {
		return FenceReply{State: FenceFailed}
	}
	return reply
}

func (o *Owner) fetch(ctx context.Context, e *sendState, c FetchCmd) Decision {
	reply, err := o.lookupCall(ctx, e, *c.Agent, o.fingerprint(e))
	return e.fetched(c, reply, err == nil)
}

func (o *Owner) lookupCall(ctx context.Context, e *sendState, agent model.Node, fingerprint uint64) (FenceReply, error) {
	if o.local(agent) {
		msg := LookupMsg{ID: e.id, Fingerprint: fingerprint, AnyRequest: e.query}
		return FenceReply(o.config.Ledger.lookup(msg)), nil
	}
	reply := FenceReply{}
	args := LookupArgs{Key: e.key, Fingerprint: fingerprint, AnyRequest: e.query}
	err := o.call(ctx, agent, methodLookup, args, &reply)
	return reply, err
}

// call bounds the wait, since a node that is paused or gone does not answer at all.
func (o *Owner) call(ctx context.Context, node model.Node, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return o.config.Peers.Call(ctx, node, method, args, reply)
}

func (o *Owner) local(agent model.Node) bool {
	return o.config.Ledger != nil && agent.Ref == o.config.Self.Ref
}

// ask follows the key to its holder and returns the next command, or the decision when there is none.
func (o *Owner) ask(ctx context.Context, e *sendState, c AskCmd) (Cmd, Decision) {
	t := e.follow(o.config.Self.Ref, c)
	if t.Call {
		reply, ok := o.resolveCall(ctx, e, c)
		successor, _ := o.config.Directory.Successor(c.Holder)
		t = e.followed(o.now(), c, reply, ok, successor.Ref)
	}
	switch {
	case t.Msg != nil:
		return o.update(e.id, t.Msg), Decision{}
	case t.Cmd != nil:
		return t.Cmd, Decision{}
	case t.Lookup:
		return nil, e.evidence(o.lookups(ctx, e))
	default:
		return nil, t.Decision
	}
}

func (o *Owner) resolveCall(ctx context.Context, e *sendState, c AskCmd) (ResolveReply, bool) {
	node, ok := o.config.Directory.Node(c.Holder)
	if !ok {
		return ResolveReply{}, false
	}
	reply := ResolveReply{}
	err := o.call(ctx, node, methodResolve, e.resolveArgs(o.config.Self.Ref, c), &reply)
	return reply, err == nil
}

// lookups asks all agents of the service what they know about the key.
func (o *Owner) lookups(ctx context.Context, e *sendState) []FenceReply {
	agents := o.config.Directory.Agents(e.send.Service)
	replies := make([]FenceReply, len(agents))
	var wg conc.WaitGroup
	for i, agent := range agents {
		wg.Go(func() {
			if reply, err := o.lookupCall(ctx, e, agent, e.send.Fingerprint); err == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	return replies
}

// serve answers a requester's Keys.Resolve.
func (o *Owner) serve(ctx context.Context, id keyID, args ResolveArgs) ResolveReply {
	e := &sendState{key: args.Key, id: id, query: args.Query, send: KeyRequest{Fingerprint: args.Fingerprint}}
	var cmd Cmd
	if args.Query {
		cmd = o.query(id)
	} else {
		cmd = o.update(id, ResolveMsg{
			Now: o.now(), ID: id, Fingerprint: args.Fingerprint,
			Requester: args.Requester, Generation: args.Generation,
		})
	}
	if f, ok := cmd.(FenceCmd); ok {
		cmd = o.fence(ctx, e, f)
	}
	if f, ok := cmd.(FetchCmd); ok {
		return e.reply(o.fetch(ctx, e, f))
	}
	return e.served(cmd)
}
