// Package picker picks a target among the candidates of a service by locality, load and health.
//
// Usage:
//
//	p := picker.New(picker.Config{Health: tracker, Now: clock.Now, Seed: seed})
//	p.SetView(v)
//	choice, err := p.Pick(picker.Request{Service: "courtview", Idempotent: true})
//	if err != nil {
//		return err
//	}
//	defer p.Done(choice, picker.Load{InFlight: 3, Limit: 7})
//
// Done takes no lock, and neither does Pick without Config.Negotiate; the view and the verdicts are read through atomic
// pointers.
package picker
