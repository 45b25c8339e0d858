package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

const (
	lostRounds = 4
	// lostShare and lostTime are how many answers are lost, and for how long; our pages go up to 0.35 and 4.5 s.
	lostShare = 0.35
	lostTime  = 2500 * time.Millisecond
	// configApply is configApplyMs.
	configApply = 2 * time.Second
)

// lossyStore is the platform's store. While it loses answers, a lost one is never sent, and nothing further comes on its
// connection.
type lossyStore struct {
	store  http.Handler
	record *record
	losing atomic.Bool
}

// ServeHTTP carries out the call, and sends the answer unless it is lost.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	answer.Body = &bytes.Buffer{}
	s.store.ServeHTTP(answer, r)
	if s.losing.Load() && rand.Float64() < lostShare {
		s.record.printf("lost   the answer to %s of %s", r.URL.Path, r.URL.Query().Get("table"))
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// playLostAnswers loses some answers of the store while a desired state moves a route. Once the store has been sound for
// stableMs, one request is sent to each node; the rule is broken if the service of the older version runs it.
func playLostAnswers(f *fleet, trouble bool) (broken int, err error) {
	for i, service := range []string{"north", "south", "front", "north", "south", "front"} {
		if _, err := f.add([]string{"norte-a", "centro-a", "sul-a"}[i/2], service); err != nil {
			return 0, err
		}
	}
	services := [...]string{"north", "south"}
	f.configure(1, map[string]string{"orders": services[1], "north": "north", "south": "south", "front": "front"})
	if err := f.awaitReady("orders", "north", "south", "front"); err != nil {
		return 0, err
	}
	changed := time.Now()
	for round := range lostRounds {
		// A node whose long poll ended without a change at 16 s polls again; the change comes soon after.
		time.Sleep(time.Until(changed.Add(16*time.Second + 500*time.Millisecond)))
		f.setLosing(trouble)
		time.Sleep(lostTime - 200*time.Millisecond)
		service := services[round%2]
		f.configure(round+2, map[string]string{"orders": service, "north": "north", "south": "south", "front": "front"})
		changed = time.Now()
		time.Sleep(200 * time.Millisecond)
		f.setLosing(false)
		time.Sleep(stableBound + 100*time.Millisecond)
		broken += f.checkRoute(fmt.Sprintf("check-%d", round), service, changed)
	}
	return broken, nil
}

func (f *fleet) setLosing(losing bool) {
	f.lossy.losing.Store(losing)
	f.record.printf("the store loses answers: %v", losing)
}

// checkRoute sends one request through each node and counts those that another service than the given one runs.
func (f *fleet) checkRoute(name, service string, changed time.Time) (broken int) {
	for i, m := range f.machines {
		id := fmt.Sprintf("%s-%d", name, i)
		f.record.printf("send   %s: POST /order/%s through %s, %.3f s after the ack", id, id, m.name, time.Since(changed).Seconds())
		f.record.printf("answer %s: %v", id, m.send("POST", "orders", "/order/"+id, id, "Content-Length: 0\r\n"))
		for _, r := range f.runsOf(id) {
			if time.Since(changed) > configApply && r.service != service {
				broken++
				f.record.printf("CONFIG: %s was run by the service %s of the older version instead of %s", id, r.service, service)
			}
		}
	}
	return broken
}
