package wake

// Signal wakes the goroutine that receives from it; raises before it looks count as one.
type Signal chan struct{}

// New returns a signal that is not raised.
func New() Signal { return make(Signal, 1) }

// Raise wakes the receiver now or when it next looks; it never blocks.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}
