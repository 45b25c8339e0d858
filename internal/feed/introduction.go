package feed

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const introduceMethod = serviceName + ".Introduce"

// IntroduceArgs name nodes to a node that knows none; net/rpc requires exported types.
type IntroduceArgs struct {
	// From is the node that calls, and Peers are the nodes of the failure domain of the node that is called.
	From  Peer
	Peers []Peer
	// Number is the number of the configuration in force at the calling node.
	Number uint64
}

// IntroduceReply is empty.
type IntroduceReply struct{}

// Introduce tells this node of others, which it can't find while the store turns it away. It is ignored by a node that has a
// configuration.
func (f *Feed) Introduce(args IntroduceArgs, _ *IntroduceReply) error {
	t := f.table
	if t.number() > 0 {
		return nil
	}
	t.mu.Lock()
	t.introducer = args.From
	if len(t.selector.ranked) == 0 {
		t.selector.Update(PeersMsg{Peers: args.Peers})
	}
	t.mu.Unlock()
	t.observeNumber(args.Number)
	return nil
}

// Introduce tells the node of the others in its failure domain.
func (t *Table) Introduce(ctx context.Context, node model.Node) error {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	return t.callOnce(ctx, node.PeerAddress, introduceMethod, IntroduceArgs{
		From:  Peer{ID: t.config.Self, Incarnation: t.config.Incarnation, Address: t.config.Address},
		Peers: peersFromRows(t.cache.partitionRows(node.Domain)), Number: t.number(),
	}, &IntroduceReply{})
}

// callOnce makes one call on a connection of its own.
func (t *Table) callOnce(ctx context.Context, address, method string, args, reply any) error {
	t.peerCalls.Add(1)
	conn, err := t.config.Dial(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "connect to node at %s", address)
	}
	caller := rpc.NewClient(conn)
	defer func() { _ = caller.Close() }() // It fails if the connection has already ended.
	call := caller.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "no response from node at %s", address)
	case <-call.Done:
		return call.Error
	}
}
