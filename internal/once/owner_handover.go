package once

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Handover ends the ownership of all keys and gives them to the successor; call it when no send is in flight. After an
// error it may be repeated with the same successor only, because that one may have taken the keys over already.
func (o *Owner) Handover(ctx context.Context, successor model.Node) error {
	var failures error
	for i := range o.shards {
		failures = errors.Join(failures, o.handOver(ctx, i, successor))
	}
	return failures
}

func (o *Owner) handOver(ctx context.Context, shard int, successor model.Node) error {
	transfer, err := o.seal(shard, successor)
	if transfer == nil || err != nil {
		return err
	}
	args := HandoverArgs{Successor: successor.Ref, Shard: shard, Transfer: *transfer}
	reply := HandoverReply{}
	if err := o.call(ctx, successor, methodHandover, args, &reply); err != nil {
		return eris.Wrapf(err, "once: hand keys over to %s; repeat it, or resends of these keys get the outcome unknown", successor.Ref)
	}
	if !reply.Accepted {
		return eris.Errorf("once: %s is leaving itself and refused the keys; resends of them get the outcome unknown", successor.Ref)
	}
	s := &o.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer = nil
	return nil
}

// seal returns what is still to be handed over, or nil when the successor has it.
func (o *Owner) seal(shard int, successor model.Node) (*Transfer, error) {
	s := &o.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	if sealed := s.module.sealed; sealed != nil && sealed.Ref != successor.Ref {
		return nil, eris.Errorf("once: keys were handed over to %s already; name the same successor again", sealed.Ref)
	}
	if cmd, ok := only(s.module.Update(SealMsg{Successor: &successor})).(TransferCmd); ok {
		s.transfer = &cmd.Transfer
	}
	return s.transfer, nil
}

func (o *Owner) takeOver(shard int, transfer Transfer) bool {
	s := &o.shards[shard]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := only(s.module.Update(TakeOverMsg{Now: o.now(), Transfer: transfer})).(TakenOverCmd)
	return ok
}
