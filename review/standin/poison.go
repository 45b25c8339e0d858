package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// crashAfter is how long an instance works on the poison request before it crashes, and downTime how long it is away.
	crashAfter = 600 * time.Millisecond
	downTime   = 2 * time.Second
	// leaveAfter is when the client of the poison request leaves; the limit is half the objective, 1.25 s.
	leaveAfter  = 400 * time.Millisecond
	poisonTimes = 16
	poisonPause = 2500 * time.Millisecond
	// crashLimit is the number of crashes after which, and of the retries up to which, the rule lets the request run.
	crashLimit = 3
)

// playPoison lets a request come again and again that crashes each instance that runs it, while its client leaves before
// the crash. It counts the runs later than stableMs after the third crash, beyond three.
func playPoison(f *fleet, trouble bool) (broken int, err error) {
	for i, service := range []string{"orders", "orders", "orders", "orders", "front", "front"} {
		if _, err := f.add([]string{"norte-a", "centro-a", "sul-a"}[i/2], service); err != nil {
			return 0, err
		}
	}
	f.configure(1, map[string]string{"orders": "orders", "front": "front"})
	if err := f.awaitReady("orders", "front"); err != nil {
		return 0, err
	}
	time.Sleep(stableBound)
	stop, traffic := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(traffic)
		f.sendOrders(stop, f.machines[4])
	}()
	for i := range poisonTimes {
		id, m := fmt.Sprintf("poison-%d", i), f.machines[i%len(f.machines)]
		f.record.printf("send   %s: POST /order/poison through %s", id, m.name)
		patience := 5 * time.Second
		if trouble {
			patience = leaveAfter
		}
		go func() { f.record.printf("answer %s: %v", id, m.sendPoison(id, patience)) }()
		time.Sleep(poisonPause)
	}
	close(stop)
	<-traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := 0
	var third time.Time
	for _, r := range f.runs {
		if !strings.HasPrefix(r.id, "poison-") {
			continue
		}
		if runs++; runs == crashLimit {
			third = r.at.Add(crashAfter)
		}
		if runs > crashLimit && r.at.Sub(third) > stableBound {
			broken++
			f.record.printf("%s reached %s %.1f s after the third crash", r.id, r.instance, r.at.Sub(third).Seconds())
		}
	}
	f.record.printf("BUDGET: the request reached instances in %d retries later than stableMs after the third crash; %d are allowed", broken, crashLimit)
	return max(0, broken-crashLimit), nil
}

// sendPoison sends the poison request and leaves when the patience ends.
func (m *machine) sendPoison(id string, patience time.Duration) answer {
	conn, err := net.DialTimeout("tcp", m.ip+":8304", time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = fmt.Fprintf(conn, "%s\r\npoison", head("POST", "orders", "/order/poison", id, "Content-Length: 6\r\n"))
	return readAnswer(conn, "POST")
}
