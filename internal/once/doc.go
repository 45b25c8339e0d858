// Package once makes a request with an idempotency key run at most once.
//
// Every key has one owner, a node incarnation, and only the owner decides where the request runs. Owner is the side of
// the edge, Ledger the side of the agent, and Keys serves both to other nodes over net/rpc.
//
// Usage at the edge:
//
//	decision := owner.Begin(ctx, once.Send{Key: key, Account: account, Service: service, Fingerprint: fingerprint})
//	for decision.Kind == once.KindRun {
//		attempt, ok := owner.StartAttempt(decision.Key, target, node)
//		if !ok {
//			decision = owner.ResolveAttempt(ctx, decision.Key)
//			break
//		}
//		switch send(attempt) { // attempt travels in Auburnwinch-Key
//		case refused: // certain not-run
//			owner.RefuseAttempt(decision.Key)
//		case answered: // the whole answer arrived
//			owner.FinishAttempt(decision.Key)
//		default: // broken connection, silence, or the refusal ReasonSeen
//			decision = owner.ResolveAttempt(ctx, decision.Key)
//		}
//	}
//	owner.End(decision.Key, outcome) // after every KindRun, exactly once
//
// Usage at the agent, around the hand-over of the request to the target:
//
//	if !ledger.Admit(attempt) {
//		refuse(once.ReasonSeen)
//	}
//	ledger.Finish(attempt, answer) // or Fail, or Release when the target was never reached
package once
