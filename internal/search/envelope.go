package search

// Envelope is the part of a message that names its sender; embed it in messages.
type Envelope struct {
	From uint8
	// AwaitsReply is cleared when the sender no longer waits for a reply.
	AwaitsReply bool
	// KeepsSender messages keep the number of their sender afterwards.
	KeepsSender bool
}

// SenderGaveUp notes that the sender i waits no longer; messages that differ only in such a sender become equal.
func (e *Envelope) SenderGaveUp(i uint8) {
	if !e.AwaitsReply || e.From != i {
		return
	}
	e.AwaitsReply = false
	if !e.KeepsSender {
		e.From = 0
	}
}

// Renumber replaces the number of the sender by its place.
func (e *Envelope) Renumber(places []int) {
	if (e.KeepsSender || e.AwaitsReply) && int(e.From) < len(places) {
		e.From = uint8(places[e.From])
	}
}

// IsFrom reports whether the message still names the sender i.
func (e *Envelope) IsFrom(i uint8) bool {
	return e.From == i && (e.AwaitsReply || e.KeepsSender)
}
