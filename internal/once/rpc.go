package once

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Names of the methods that Keys serves.
const (
	methodFence    = "Keys.Fence"
	methodResolve  = "Keys.Resolve"
	methodLookup   = "Keys.Lookup"
	methodHandover = "Keys.Handover"
)

// ServiceName is the name under which Keys must be registered with net/rpc.
const ServiceName = "Keys"

// FenceArgs ask an agent to refuse the key for ever unless it was admitted.
type FenceArgs struct {
	Agent       model.NodeRef
	Key         string
	Fingerprint uint64
}

// FenceReply is the knowledge of an agent; Answer is set when it is kept.
type FenceReply struct {
	State  FenceState
	Answer *StoredResponse
}

// LookupArgs ask an agent for evidence about the key.
type LookupArgs struct {
	Key         string
	Fingerprint uint64
	// AnyRequest skips the comparison of fingerprints, for outcome queries that carry no request.
	AnyRequest bool
}

// ResolveArgs ask a holder for the outcome or the ownership of the key.
type ResolveArgs struct {
	Holder      model.NodeRef
	Requester   model.NodeRef
	Key         string
	Fingerprint uint64
	Generation  uint32
	// Query asks for the outcome only; it never moves the key.
	Query bool
}

// ResolveReply is the answer of a holder. Granted and Moved exclude each other and a Kind.
type ResolveReply struct {
	Granted    bool
	Moved      bool
	Gone       bool
	Holder     model.NodeRef
	Generation uint32
	Kind       Kind
	Reason     string
	Answer     *StoredResponse
}

// HandoverArgs carry one shard of the keys of an owner that shuts down.
type HandoverArgs struct {
	Successor model.NodeRef
	Shard     int
	Transfer  Transfer
}

// HandoverReply acknowledges a handover; a successor that is leaving itself does not accept.
type HandoverReply struct {
	Accepted bool
}

// KeyService serves the keys of this node to other nodes; register it with net/rpc under ServiceName.
type KeyService struct {
	owner  *Owner
	ledger *Ledger
}

// rpcTimeout bounds the work that a holder does for a requester, which waits for it.
const rpcTimeout = 2 * time.Second

// NewKeyService returns the net/rpc receiver of a node.
func NewKeyService(owner *Owner, ledger *Ledger) *KeyService {
	return &KeyService{owner: owner, ledger: ledger}
}

// Fence refuses the key for ever unless it was admitted, and tells what is known about it.
func (k *KeyService) Fence(args FenceArgs, reply *FenceReply) error {
	id, err := parseKey(args.Key)
	if err != nil {
		return err
	}
	e := k.ledger.fence(FenceMsg{ID: id, Agent: args.Agent, Fingerprint: args.Fingerprint})
	*reply = FenceReply(e)
	return nil
}

// Lookup tells what is known about the key.
func (k *KeyService) Lookup(args LookupArgs, reply *FenceReply) error {
	id, err := parseKey(args.Key)
	if err != nil {
		return err
	}
	*reply = FenceReply(k.ledger.lookup(LookupMsg{ID: id, Fingerprint: args.Fingerprint, AnyRequest: args.AnyRequest}))
	return nil
}

// Resolve tells the outcome of the key or grants it to the requester.
func (k *KeyService) Resolve(args ResolveArgs, reply *ResolveReply) error {
	if args.Holder != k.owner.config.Self.Ref {
		reply.Gone = true
		return nil
	}
	id, err := parseKey(args.Key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	*reply = k.owner.serve(ctx, id, args)
	return nil
}

// Handover takes over one shard of the keys of a node that shuts down.
func (k *KeyService) Handover(args HandoverArgs, reply *HandoverReply) error {
	if args.Successor != k.owner.config.Self.Ref {
		return eris.New("once: the handover is for another incarnation; choose another successor")
	}
	if args.Shard < 0 || args.Shard >= shards {
		return eris.Errorf("once: shard %d is not in 0..%d; run the same version on all nodes", args.Shard, shards-1)
	}
	reply.Accepted = k.owner.takeOver(args.Shard, args.Transfer)
	return nil
}
