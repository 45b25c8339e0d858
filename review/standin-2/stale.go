package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// applyTime is configApplyMs of the settings.
	applyTime = 2 * time.Second
	// turnTime is the time for which one node waits for another one's answer.
	turnTime    = 2 * time.Second
	staleRounds = 3
)

// runStale moves a route to another service while one machine is frozen, and sends orders through the other machines later than
// configApplyMs after the store has taken the change. CONFIG is broken if the old service runs one of them.
func runStale(f *fleet, trouble bool) (int, error) {
	services := []string{"alpha", "beta"}
	for i := range 8 {
		if _, err := f.add("norte-a", services[i%2]); err != nil {
			return exitNotRun, err
		}
	}
	version, old := 1, services[0]
	configure := func() time.Time {
		ack := f.configure(version, services, []route{{"orders", "shop.example", "/orders/", "non_idempotent", old, 4000, 2}})
		f.record.printf("the operator's desired state r%d sends /orders/ to %s; acknowledged", version, old)
		return ack
	}
	configure()
	if !f.awaitReady() {
		return exitNotRun, fmt.Errorf("the nodes did not become ready")
	}
	broken := 0
	for n := range staleRounds {
		time.Sleep(settleTime)
		// A change that moves nothing; by it the calls between the nodes begin anew at about the same time.
		version++
		aligned := configure()
		time.Sleep(turnTime + 150*time.Millisecond)
		reader := f.reader(aligned.Add(-settleTime))
		if reader == nil {
			return exitNotRun, fmt.Errorf("no machine waits at the store")
		}
		if trouble {
			f.record.printf("%s freezes (SIGSTOP)", reader.name)
			reader.signal(syscall.SIGSTOP)
		}
		before := old
		version, old = version+1, services[(n+1)%2]
		ack := configure()
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, m := range f.machines {
			if m == reader {
				continue
			}
			group.Add(1)
			go func() {
				defer group.Done()
				for k := range 3 {
					time.Sleep(time.Until(ack.Add(applyTime + time.Duration(60+100*k)*time.Millisecond)))
					sent := time.Now()
					id := fmt.Sprintf("%d%d-%s", n, k, m.name)
					a := f.send(request{machine: m, method: http.MethodPost, host: "shop.example", path: "/orders/" + id, id: id, deadline: 4 * time.Second})
					for _, other := range f.machines {
						if len(other.instance.ran(id)) > 0 && other.service == before {
							f.record.printf("BROKEN: %s, sent to %s %d ms after the ack of r%d, ran at %s as only an older version allows (answer %d)",
								id, m.name, sent.Sub(ack).Milliseconds(), version, other.service, a.status)
							mu.Lock()
							broken++
							mu.Unlock()
						}
					}
				}
			}()
		}
		group.Wait()
		reader.signal(syscall.SIGCONT)
		f.record.printf("%s runs on (SIGCONT)", reader.name)
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// reader returns a machine that waits at the store for the list of nodes, because others follow it.
func (f *fleet) reader(since time.Time) *machine {
	var most *machine
	for _, m := range f.machines {
		if most == nil || m.callsSince("rows-feed nodes", since) > most.callsSince("rows-feed nodes", since) {
			most = m
		}
	}
	if most.callsSince("rows-feed nodes", since) == 0 {
		return nil
	}
	return most
}
