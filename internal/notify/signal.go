package notify

// Signal wakes the goroutine that receives from it; several raises before a receive count as one.
type Signal chan struct{}

// New returns a signal that is not raised.
func New() Signal { return make(Signal, 1) }

// Raise wakes the receiver, or makes its next receive return at once; it never blocks.
func (s Signal) Raise() {
	select {
	case s <- struct{}{}:
	default:
	}
}
