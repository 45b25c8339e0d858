package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// refuseTime is how long the store turns the machine away.
	refuseTime = 1200 * time.Millisecond
	// touchTime is how long after the end of an impairment the machines are in touch again, stableMs and a margin.
	touchTime = 3300 * time.Millisecond
	// lateTime is by how much the last ping arrives late.
	lateTime  = time.Second
	orderTime = 8 * time.Second
)

// runForgets lets an instance deregister. Its node is killed as soon as it has acknowledged that, and starts again while the store turns
// its machine away. DRAIN is broken if a request reaches the instance later than drainMs after the ack, at a time at which all machines
// are in touch. There is a second round, with other instances, if the first shows nothing.
func runForgets(f *fleet, trouble bool) (int, error) {
	services := []string{"alpha", "beta"}
	for _, service := range []string{"alpha", "alpha", "alpha", "beta", "beta"} {
		if _, err := f.add("norte-a", service); err != nil {
			return exitNotRun, err
		}
	}
	f.configure(1, services, []route{
		{"orders", "shop.example", "/orders/", "non_idempotent", "alpha", 4000, 2}, {"refunds", "shop.example", "/refunds/", "non_idempotent", "beta", 4000, 2},
	})
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
	for round := range 2 {
		time.Sleep(settleTime)
		broken, err := f.forget(f.machines[round], f.machines[3+round], trouble)
		if err != nil {
			return exitNotRun, err
		}
		if broken > 0 {
			return exitBroken, nil
		}
	}
	return exitHeld, nil
}

// forget plays one round, in which the instance of the first machine deregisters after that of the other one has begun to drain.
func (f *fleet) forget(m, other *machine, trouble bool) (broken int, err error) {
	i := m.instance
	i.stop()
	late := i.ping("ready")
	f.record.printf("instance %s on %s sends a ping, which will arrive late", i.id, m.name)
	f.record.printf("the instance on %s drains: acknowledged %t", other.name, other.instance.send(other.instance.ping("draining")))
	time.Sleep(150 * time.Millisecond)
	if !i.deregister() {
		return 0, fmt.Errorf("the deregistration was not acknowledged")
	}
	ack := time.Now()
	f.record.printf("instance %s deregisters: acknowledged; it goes on serving", i.id)
	if trouble {
		m.refused.Store(true)
		f.record.printf("the store turns %s away (503) for %v", m.name, refuseTime)
		time.AfterFunc(refuseTime, func() {
			m.refused.Store(false)
			f.record.printf("the store serves %s again", m.name)
		})
	}
	f.record.printf("the node of %s is killed and started again", m.name)
	if err := m.restart(); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(ack.Add(lateTime)))
	f.record.printf("the late ping arrives: acknowledged %t", i.send(late))
	time.Sleep(time.Until(ack.Add(orderTime)))
	all := 0
	for id, runs := range i.all() {
		for _, r := range runs {
			after := r.at.Sub(ack)
			if after > drainTime {
				all++
			}
			// All machines are in touch again, also the one that was killed and turned away.
			if after > refuseTime+touchTime {
				broken++
				if broken <= 20 {
					f.record.printf("BROKEN: %s reached instance %s %d ms after the ack", id, i.id, after.Milliseconds())
				}
			}
		}
	}
	f.record.printf("%d requests reached the instance later than drainMs after the ack, %d of them with all machines in touch", all, broken)
	return broken, nil
}
