package once

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Names of the net/rpc methods of KeyService.
const (
	methodFence    = "Keys.Fence"
	methodResolve  = "Keys.Resolve"
	methodLookup   = "Keys.Lookup"
	methodHandover = "Keys.Handover"
)

// ServiceName is the name under which KeyService must be registered with net/rpc.
const ServiceName = "Keys"

// FenceArgs asks an agent to reject all later attempts with the key unless one was already admitted.
type FenceArgs struct {
	Agent       model.NodeRef
	Key         string
	Fingerprint uint64
}

// FenceReply is the state of a key at an agent; Answer is the response, if it is stored.
type FenceReply struct {
	State  FenceState
	Answer *StoredResponse
}

// LookupArgs asks an agent for the state of the key.
type LookupArgs struct {
	Key         string
	Fingerprint uint64
	// AnyRequest skips the comparison of fingerprints, for outcome queries that carry no request.
	AnyRequest bool
}

// ResolveArgs asks the owner of a key for its outcome or its ownership.
type ResolveArgs struct {
	Holder      model.NodeRef
	Requester   model.NodeRef
	Key         string
	Fingerprint uint64
	Generation  uint32
	// Query asks only for the outcome and never transfers the key.
	Query bool
}

// ResolveReply is the reply of an owner. At most one of Granted, Moved, Gone and Kind is set; Gone means that the
// called node incarnation no longer exists.
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

// HandoverArgs carries one shard of the keys of an owner that shuts down.
type HandoverArgs struct {
	Successor model.NodeRef
	Shard     int
	Transfer  Transfer
}

// HandoverReply acknowledges a handover; a successor that is itself shutting down does not accept.
type HandoverReply struct {
	Accepted bool
}

// KeyService is the net/rpc receiver through which other nodes use the keys of this node; register it under
// ServiceName.
type KeyService struct {
	owner  *Owner
	ledger *Ledger
}

// rpcTimeout bounds a net/rpc call and the work of an owner for a waiting requester.
const rpcTimeout = 2 * time.Second

// NewKeyService returns the net/rpc receiver of a node.
func NewKeyService(owner *Owner, ledger *Ledger) *KeyService {
	return &KeyService{owner: owner, ledger: ledger}
}

// Fence rejects all later attempts with the key unless one was already admitted, and returns the state of the key.
func (k *KeyService) Fence(args FenceArgs, reply *FenceReply) error {
	id, err := parseKey(args.Key)
	if err != nil {
		return err
	}
	state := k.ledger.fence(FenceMsg{ID: id, Agent: args.Agent, Fingerprint: args.Fingerprint})
	*reply = FenceReply(state)
	return nil
}

// Lookup returns the state of the key without changing it.
func (k *KeyService) Lookup(args LookupArgs, reply *FenceReply) error {
	id, err := parseKey(args.Key)
	if err != nil {
		return err
	}
	*reply = FenceReply(k.ledger.lookup(LookupMsg{ID: id, Fingerprint: args.Fingerprint, AnyRequest: args.AnyRequest}))
	return nil
}

// Resolve returns the outcome of the key, grants the key to the requester, or names its present owner.
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
	*reply = k.owner.serveResolve(ctx, id, args)
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
	reply.Accepted = k.owner.takeOverShard(args.Shard, args.Transfer)
	return nil
}
