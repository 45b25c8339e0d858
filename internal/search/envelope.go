package search

// Envelope identifies the sender of a message; message types embed it.
type Envelope struct {
	From uint8
	// AwaitsReply is false once the sender no longer waits for a reply.
	AwaitsReply bool
	// KeepsSender is set for messages that keep the number of their sender after it has stopped waiting.
	KeepsSender bool
}

// SenderGaveUp records that sender i no longer waits; messages that differ only in such a sender become equal.
func (e *Envelope) SenderGaveUp(i uint8) {
	if !e.AwaitsReply || e.From != i {
		return
	}
	e.AwaitsReply = false
	if !e.KeepsSender {
		e.From = 0
	}
}

// Renumber replaces the number of the sender by its rank.
func (e *Envelope) Renumber(ranks []int) {
	if (e.KeepsSender || e.AwaitsReply) && int(e.From) < len(ranks) {
		e.From = uint8(ranks[e.From])
	}
}

// IsFrom reports whether the message still identifies i as its sender.
func (e *Envelope) IsFrom(i uint8) bool {
	return e.From == i && (e.AwaitsReply || e.KeepsSender)
}
