// Package once makes a request with an idempotency key run at most once.
//
// Each key has one owner, a node incarnation, and only the owner decides whether and where the request runs. Owner is
// used by the edge and Ledger by the agent; KeyService gives other nodes access to both over net/rpc.
//
// Usage at the edge:
//
//	decision := owner.Begin(ctx, once.KeyRequest{Key: key, Account: account, Service: service, Fingerprint: fingerprint})
//	for decision.Kind == once.KindRun {
//		attempt, ok := owner.StartAttempt(decision.Key, target, node)
//		if !ok {
//			decision = owner.ResolveAttempt(ctx, decision.Key)
//			break
//		}
//		switch send(attempt) { // attempt travels in Auburnwinch-Key
//		case refused: // the agent certainly did not run it
//			owner.RefuseAttempt(decision.Key)
//		case answered: // the complete response arrived
//			owner.FinishAttempt(decision.Key)
//		default: // connection lost, timeout, or refused with ReasonKeySeen
//			decision = owner.ResolveAttempt(ctx, decision.Key)
//		}
//	}
//	owner.End(decision.Key, outcome) // after every KindRun, exactly once
//
// Usage at the agent, before and after the request is sent to the target:
//
//	if !ledger.Admit(attempt) {
//		refuse(once.ReasonKeySeen)
//	}
//	ledger.Finish(attempt, response) // or Fail, or Release if the request never reached the target
package once
