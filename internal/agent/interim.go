package agent

import (
	"net/http"
	"sync"
	"time"
)

// interim sends 102 answers until the final answer starts, so that the edge can tell a busy agent from a connection
// that went silent.
type interim struct {
	w        http.ResponseWriter
	interval time.Duration

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// start schedules the first interim answer of a request that waits for a slot.
func (i *interim) start(wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.timer = time.AfterFunc(wait, i.send)
}

// send sends one interim answer and schedules the next.
func (i *interim) send() {
	i.sendStatus(http.StatusProcessing)
}

func (i *interim) sendStatus(status int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return
	}
	i.w.WriteHeader(status)
	i.timer.Reset(i.interval)
}

// end stops interim answers; afterwards the header of the answer may be changed.
func (i *interim) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	if i.timer != nil {
		i.timer.Stop()
	}
}
