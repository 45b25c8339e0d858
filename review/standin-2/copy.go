package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayTime how long it is away before.
	copyAge  = 2500 * time.Millisecond
	awayTime = 500 * time.Millisecond
)

// runCopy lets an instance deregister. Some seconds later the store comes back from a copy from before, in a drill, while the only node of
// the zone is killed and starts again, and a ping from before arrives late. DRAIN is broken if a request reaches the instance later than
// drainMs after the ack, at a time at which all machines are in touch.
func runCopy(f *fleet, trouble bool) (int, error) {
	services := []string{"alpha", "beta"}
	for k, service := range []string{"alpha", "alpha", "beta", "alpha"} {
		if _, err := f.add([]string{"norte-a", "sul-a"}[min(k, 1)], service); err != nil {
			return exitNotRun, err
		}
	}
	configure := func() {
		f.configure(1, services, []route{{"orders", "shop.example", "/orders/", "non_idempotent", "alpha", 4000, 2}})
	}
	configure()
	if !f.awaitReady() {
		return exitNotRun, fmt.Errorf("the nodes did not become ready")
	}
	var stopped atomic.Bool
	defer stopped.Store(true)
	var count atomic.Int64
	for _, m := range f.machines {
		for range 2 {
			go func() {
				for !stopped.Load() {
					id := fmt.Sprintf("order-%d", count.Add(1))
					f.send(request{machine: m, method: http.MethodPost, host: "shop.example", path: "/orders/" + id + "?work=20", id: id, deadline: 4 * time.Second})
					time.Sleep(40 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(settleTime)
	m := f.machines[0]
	i := m.instance
	saved := f.store.Copy()
	taken := time.Now()
	i.stop()
	late := i.ping("ready")
	f.record.printf("instance %s on %s sends a ping, which will arrive late", i.id, m.name)
	time.Sleep(300 * time.Millisecond)
	if !i.deregister() {
		return exitNotRun, fmt.Errorf("the deregistration was not acknowledged")
	}
	ack := time.Now()
	f.record.printf("instance %s deregisters: acknowledged; it goes on serving", i.id)
	time.Sleep(time.Until(taken.Add(copyAge - awayTime)))
	if trouble {
		f.record.printf("the store is away for %v", awayTime)
		for _, other := range f.machines {
			other.refused.Store(true)
		}
		time.Sleep(awayTime)
		f.store.ComeBack(saved)
		configure()
		for _, other := range f.machines {
			other.refused.Store(false)
		}
		f.record.printf("the store comes back from a copy, %.1f s old; the operator has written its desired state again", time.Since(taken).Seconds())
	}
	f.record.printf("the node of %s, the only one of its zone, is killed and started again", m.name)
	back := time.Now()
	if err := m.restart(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Until(back.Add(lateTime)))
	f.record.printf("the late ping arrives: acknowledged %t", i.send(late))
	time.Sleep(time.Until(back.Add(orderTime)))
	broken, all := 0, 0
	for id, runs := range i.all() {
		for _, r := range runs {
			after := r.at.Sub(ack)
			if after > drainTime && r.at.After(back) {
				all++
			}
			if after > drainTime && r.at.Sub(back) > touchTime {
				broken++
				if broken <= 20 {
					f.record.printf("BROKEN: %s reached instance %s %d ms after the ack", id, i.id, after.Milliseconds())
				}
			}
		}
	}
	f.record.printf("%d requests reached the instance later than drainMs after the ack, %d of them with all machines in touch", all, broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
