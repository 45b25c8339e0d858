package once

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Handover transfers the ownership of all keys to the successor; call it when no request is in flight. After an error
// it may be retried only with the same successor, which may already own the keys.
func (o *Owner) Handover(ctx context.Context, successor model.Node) error {
	var failures error
	for i := range o.shards {
		failures = errors.Join(failures, o.handOverShard(ctx, i, successor))
	}
	return failures
}

func (o *Owner) handOverShard(ctx context.Context, shard int, successor model.Node) error {
	transfer, err := o.sealShard(shard, successor)
	if transfer == nil || err != nil {
		return err
	}
	args := HandoverArgs{Successor: successor.Ref, Shard: shard, Transfer: *transfer}
	reply := HandoverReply{}
	if err := o.call(ctx, successor, methodHandover, args, &reply); err != nil {
		return eris.Wrapf(err, "once: hand over keys to %s; retry, or later requests with these keys get the outcome unknown", successor.Ref)
	}
	if !reply.Accepted {
		return eris.Errorf("once: %s is shutting down and rejected the keys; later requests with these keys get the outcome unknown", successor.Ref)
	}
	s := &o.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingTransfer = nil
	return nil
}

// sealShard stops the shard from deciding about its keys. It returns the transfer that the successor has not
// acknowledged yet, or nil.
func (o *Owner) sealShard(shard int, successor model.Node) (*Transfer, error) {
	s := &o.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	if sealed := s.module.sealed; sealed != nil && sealed.Ref != successor.Ref {
		return nil, eris.Errorf("once: keys were already handed over to %s; use the same successor", sealed.Ref)
	}
	if cmd, ok := firstCmd(s.module.Update(SealMsg{Successor: &successor})).(TransferCmd); ok {
		s.pendingTransfer = &cmd.Transfer
	}
	return s.pendingTransfer, nil
}

func (o *Owner) takeOverShard(shard int, transfer Transfer) bool {
	s := &o.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := firstCmd(s.module.Update(TakeOverMsg{Now: o.now(), Transfer: transfer})).(TakenOverCmd)
	return ok
}
