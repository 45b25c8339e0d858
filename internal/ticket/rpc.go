package ticket

import (
	"context"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Names under which Receiver is registered with net/rpc.
const (
	RPCService = "Tickets"
	RPCAfter   = RPCService + ".After"
)

// AfterArgs requests the tickets after a number.
type AfterArgs struct {
	Number uint64
}

// AfterReply carries a batch encoded by EncodeBatch.
type AfterReply struct {
	Packed []byte
}

// Receiver serves the tickets of a Syncer to peers over net/rpc.
type Receiver struct {
	Syncer *Syncer
}

// Caller makes net/rpc calls to nodes.
type Caller interface {
	Call(ctx context.Context, n model.Node, method string, args, reply any) error
}

// After returns the tickets after a number, or a snapshot.
func (r *Receiver) After(args AfterArgs, reply *AfterReply) (err error) {
	reply.Packed, err = EncodeBatch(r.Syncer.After(args.Number))
	return err
}

// FetchAfter requests the tickets after a number from a node.
func FetchAfter(ctx context.Context, c Caller, n model.Node, number uint64) (BatchMsg, error) {
	var reply AfterReply
	if err := c.Call(ctx, n, RPCAfter, AfterArgs{Number: number}, &reply); err != nil {
		return BatchMsg{}, err
	}
	return DecodeBatch(Source{Peer: n.Ref}, reply.Packed)
}
