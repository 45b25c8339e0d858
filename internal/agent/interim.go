package agent

import (
	"net/http"
	"sync"
	"time"
)

// interim sends 102 responses until the final response starts, so that the edge can distinguish a busy agent from a
// connection that went silent.
type interimSender struct {
	w        http.ResponseWriter
	interval time.Duration

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// start schedules the first interim response of a request that waits for a slot.
func (i *interimSender) start(wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.timer = time.AfterFunc(wait, i.send)
}

// send sends one interim response and schedules the next.
func (i *interimSender) send() {
	i.sendStatus(http.StatusProcessing)
}

func (i *interimSender) sendStatus(status int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return
	}
	i.w.WriteHeader(status)
	i.timer.Reset(i.interval)
}

// end stops interim responses; afterwards the response header may be changed.
func (i *interimSender) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	if i.timer != nil {
		i.timer.Stop()
	}
}
