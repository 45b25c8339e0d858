package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// clockStep is by how much the time of day of the machine is ahead when its instance first starts.
	clockStep  = 2400 * time.Millisecond
	rebornTime = 1400 * time.Millisecond
	downTime   = 700 * time.Millisecond
	orderGap   = 50 * time.Millisecond
)

// runReborn lets an instance start again under its id after the time of day of its machine has jumped back, and drain. DRAIN is
// broken if a request that another machine sends later than drainMs after the ack reaches the instance.
func runReborn(f *fleet, trouble bool) (int, error) {
	caller, err := f.add("norte-a", "beta")
	if err != nil {
		return exitNotRun, err
	}
	m, err := f.addSilent("norte-a", "alpha")
	if err != nil {
		return exitNotRun, err
	}
	f.configure(1, []string{"alpha", "beta"}, []route{{"orders", "shop.example", "/orders/", "non_idempotent", "alpha", 4000, 2}})
	if !f.awaitReady() {
		return exitNotRun, fmt.Errorf("the nodes did not become ready")
	}
	time.Sleep(4 * time.Second) // Both machines are in touch, and the second one has no instance yet.
	step := time.Duration(0)
	if trouble {
		step = clockStep
		f.record.printf("the time of day of %s is %v ahead", m.name, step)
	}
	first := m.instance
	first.born = time.Now().Add(step).UnixMilli()
	if !first.send(first.ping("ready")) {
		return exitNotRun, fmt.Errorf("the first ping was not acknowledged")
	}
	f.record.printf("instance %s starts on %s, born %d; its ping is acknowledged", first.id, m.name, first.born)
	time.Sleep(rebornTime - downTime)
	f.record.printf("the time of day of %s is back, its instance crashes", m.name)
	if err := m.serveAgain(downTime); err != nil {
		return exitNotRun, err
	}
	second := m.instance
	f.record.printf("instance %s starts again under its id, born %d", second.id, second.born)
	for range 2 {
		f.record.printf("its ping %q is acknowledged: %t", "ready", second.send(second.ping("ready")))
		time.Sleep(heartbeat / 3)
	}
	if !second.send(second.ping("draining")) {
		return exitNotRun, fmt.Errorf("the draining ping was not acknowledged")
	}
	ack := time.Now()
	f.record.printf("its ping %q is acknowledged", "draining")
	go func() {
		for range 4 {
			time.Sleep(heartbeat)
			second.send(second.ping("draining"))
		}
	}()
	time.Sleep(time.Until(ack.Add(drainTime + 50*time.Millisecond)))
	broken := 0
	for k := 0; time.Since(ack) < 4*drainTime; k++ {
		id := fmt.Sprintf("order-%d", k)
		sent := time.Now()
		a := f.send(request{machine: caller, method: http.MethodPost, host: "shop.example", path: "/orders/" + id, id: id, deadline: 4 * time.Second})
		for range second.ran(id) {
			f.record.printf("BROKEN: %s, sent %d ms after the ack, reached instance %s; the client got %d", id, sent.Sub(ack).Milliseconds(), second.id, a.status)
			broken++
		}
		time.Sleep(orderGap)
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
