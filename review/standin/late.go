package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// lateBy is the time by which one heartbeat arrives late; our pages speak of seconds.
	lateBy = 2500 * time.Millisecond
	// serveAfterLeave is how long a leaving instance goes on serving after the ack; our pages allow many seconds.
	serveAfterLeave = 9 * time.Second
	// restartPause is the short delay after which the platform starts a node again.
	restartPause = 300 * time.Millisecond
)

// playUnknownLeaver restarts a node. Its instance deregisters at the next process of the node, which has had no heartbeat
// yet, and a heartbeat that the instance had sent before arrives late.
func playUnknownLeaver(f *fleet, trouble bool) (broken int, err error) {
	return f.playLeave(func(m *machine) (acked, sent time.Time, late []byte, err error) {
		if trouble {
			m.kill()
			time.Sleep(restartPause)
			if err := m.start(); err != nil {
				return acked, sent, nil, err
			}
		}
		late, sent = m.instance.heartbeat("ready"), time.Now()
		if err := m.awaitReady(); err != nil {
			return acked, sent, nil, err
		}
		acked, err = m.instance.deregister()
		return acked, sent, late, err
	})
}

// playLeaveAtStop stops a node with SIGTERM and starts it again. Its instance deregisters while the node stops, and a
// heartbeat that the instance had sent before arrives late, at the next process.
func playLeaveAtStop(f *fleet, trouble bool) (broken int, err error) {
	return f.playLeave(func(m *machine) (acked, sent time.Time, late []byte, err error) {
		if trouble {
			m.signal(syscall.SIGTERM)
			time.Sleep(time.Second)
		}
		late, sent = m.instance.heartbeat("ready"), time.Now()
		if acked, err = m.instance.deregister(); err != nil || !trouble {
			return acked, sent, late, err
		}
		<-m.exited
		f.record.printf("the node of %s has ended", m.name)
		time.Sleep(restartPause)
		if err := m.start(); err != nil {
			return acked, sent, nil, err
		}
		return acked, sent, late, m.awaitReady()
	})
}

// playLeave lets the instance of one machine leave, and delivers a heartbeat that it had sent before late. It counts the
// requests that reach the instance later than drainMs after the ack, and later than stableMs after the start of the node,
// so that all machines are in touch.
func (f *fleet) playLeave(leave func(*machine) (acked, sent time.Time, late []byte, err error)) (broken int, err error) {
	for _, service := range []string{"orders", "orders", "front"} {
		if _, err := f.add("norte-a", service); err != nil {
			return 0, err
		}
	}
	f.configure(1, map[string]string{"orders": "orders", "front": "front"})
	if err := f.awaitReady("orders", "front"); err != nil {
		return 0, err
	}
	stop, traffic := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(traffic)
		f.sendOrders(stop, f.machines[2])
	}()
	time.Sleep(2 * stableBound)
	m := f.machines[0]
	m.instance.stopHeartbeats()
	acked, sent, late, err := leave(m)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(sent.Add(lateBy)))
	f.record.printf("the heartbeat %s arrives %.1f s late, acknowledged: %v", late, time.Since(sent).Seconds(), m.instance.post("heartbeat", late))
	time.Sleep(time.Until(acked.Add(serveAfterLeave)))
	close(stop)
	<-traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.instance == m.instance.id && r.at.Sub(acked) > drainBound && r.at.Sub(m.started) > stableBound {
			broken++
			f.record.printf("DRAIN: %s reached %s %.3f s after the ack of its leaving", r.id, r.instance, r.at.Sub(acked).Seconds())
		}
	}
	return broken, nil
}

// sendOrders sends some fifteen orders a second through the machine.
func (f *fleet) sendOrders(stop chan struct{}, front *machine) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprintf("order-%d", i)
		f.record.printf("send   %s: POST /order/%s through %s", id, id, front.name)
		f.record.printf("answer %s: %v", id, front.send("POST", "orders", "/order/"+id, id, "Content-Length: 0\r\n"))
	}
}
