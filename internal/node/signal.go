package node

// signal wakes the goroutine that waits for it; raises before it looks count as one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}
