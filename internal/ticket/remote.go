package ticket

import (
	"context"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Names for the registration of Receiver with net/rpc.
const (
	RPCService = "Tickets"
	RPCAfter   = RPCService + ".After"
)

// AfterArgs asks for what follows a number.
type AfterArgs struct {
	Number uint64
}

// AfterReply carries a batch in the form of EncodeBatch.
type AfterReply struct {
	Packed []byte
}

// Receiver serves the tickets of a keeper to peers over net/rpc.
type Receiver struct {
	Keeper *Keeper
}

// Caller makes one net/rpc call to a node.
type Caller interface {
	Call(ctx context.Context, n model.Node, method string, args, reply any) error
}

// After answers with the tickets after a number, or with a snapshot.
func (r *Receiver) After(args AfterArgs, reply *AfterReply) (err error) {
	reply.Packed, err = EncodeBatch(r.Keeper.After(args.Number))
	return err
}

// FetchAfter asks a node for the tickets after a number.
func FetchAfter(ctx context.Context, c Caller, n model.Node, number uint64) (BatchMsg, error) {
	var reply AfterReply
	if err := c.Call(ctx, n, RPCAfter, AfterArgs{Number: number}, &reply); err != nil {
		return BatchMsg{}, err
	}
	return DecodeBatch(Source{Peer: n.Ref}, reply.Packed)
}
