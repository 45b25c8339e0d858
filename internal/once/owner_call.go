package once

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func (o *Owner) fence(ctx context.Context, state *requestState, c FenceCmd) Cmd {
	reply := o.fenceCall(ctx, state, *c.Agent)
	return o.update(state.id, state.fenceReplyMsg(o.now(), c, reply))
}

func (o *Owner) fenceCall(ctx context.Context, state *requestState, agent model.Node) FenceReply {
	fingerprint := o.fingerprint(state)
	if o.isLocal(agent) {
		return FenceReply(o.config.Ledger.fence(FenceMsg{ID: state.id, Agent: agent.Ref, Fingerprint: fingerprint}))
	}
	reply := FenceReply{}
	args := FenceArgs{Agent: agent.Ref, Key: state.key, Fingerprint: fingerprint}
	if err := o.call(ctx, agent, methodFence, args, &reply); err != nil {
		return FenceReply{State: FenceFailed}
	}
	return reply
}

func (o *Owner) fetch(ctx context.Context, state *requestState, c FetchCmd) Decision {
	reply, err := o.lookupCall(ctx, state, *c.Agent, o.fingerprint(state))
	return state.fetchDecision(c, reply, err == nil)
}

func (o *Owner) lookupCall(ctx context.Context, state *requestState, agent model.Node, fingerprint uint64) (FenceReply, error) {
	if o.isLocal(agent) {
		msg := LookupMsg{ID: state.id, Fingerprint: fingerprint, AnyRequest: state.query}
		return FenceReply(o.config.Ledger.lookup(msg)), nil
	}
	reply := FenceReply{}
	args := LookupArgs{Key: state.key, Fingerprint: fingerprint, AnyRequest: state.query}
	err := o.call(ctx, agent, methodLookup, args, &reply)
	return reply, err
}

// call sets a deadline, because a paused or stopped node never responds.
func (o *Owner) call(ctx context.Context, node model.Node, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return o.config.Peers.Call(ctx, node, method, args, reply)
}

func (o *Owner) isLocal(agent model.Node) bool {
	return o.config.Ledger != nil && agent.Ref == o.config.Self.Ref
}

// resolveRemote asks the owner of the key and returns the next command, or the decision if there is none.
func (o *Owner) resolveRemote(ctx context.Context, state *requestState, c ResolveCmd) (Cmd, Decision) {
	next := state.checkHolder(o.config.Self.Ref, c)
	if next.Call {
		reply, ok := o.resolveCall(ctx, state, c)
		successor, _ := o.config.Directory.Successor(c.Holder)
		next = state.handleResolveReply(o.now(), c, reply, ok, successor.Ref)
	}
	switch {
	case next.Msg != nil:
		return o.update(state.id, next.Msg), Decision{}
	case next.Cmd != nil:
		return next.Cmd, Decision{}
	case next.Lookup:
		return nil, state.lookupDecision(o.lookupAll(ctx, state))
	default:
		return nil, next.Decision
	}
}

func (o *Owner) resolveCall(ctx context.Context, state *requestState, c ResolveCmd) (ResolveReply, bool) {
	node, ok := o.config.Directory.Node(c.Holder)
	if !ok {
		return ResolveReply{}, false
	}
	reply := ResolveReply{}
	err := o.call(ctx, node, methodResolve, state.resolveArgs(o.config.Self.Ref, c), &reply)
	return reply, err == nil
}

// lookupAll queries all agents of the service for the key; the reply of an agent that fails is the zero value.
func (o *Owner) lookupAll(ctx context.Context, state *requestState) []FenceReply {
	agents := o.config.Directory.Agents(state.request.Service)
	replies := make([]FenceReply, len(agents))
	var wg conc.WaitGroup
	for i, agent := range agents {
		wg.Go(func() {
			if reply, err := o.lookupCall(ctx, state, agent, state.request.Fingerprint); err == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	return replies
}

// serveResolve handles a Keys.Resolve call.
func (o *Owner) serveResolve(ctx context.Context, id keyID, args ResolveArgs) ResolveReply {
	state := &requestState{key: args.Key, id: id, query: args.Query, request: KeyRequest{Fingerprint: args.Fingerprint}}
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
		cmd = o.fence(ctx, state, f)
	}
	if f, ok := cmd.(FetchCmd); ok {
		return state.decisionReply(o.fetch(ctx, state, f))
	}
	return state.resolveReply(cmd)
}
