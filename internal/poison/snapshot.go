package poison

// Verdict states whether a request may run.
type Verdict uint8

const (
	// Clear permits the request.
	Clear Verdict = iota
	// Suspect permits the request only as a granted trial, alone on its target.
	Suspect
	// Quarantined forbids the request.
	Quarantined
)

// Snapshot is an immutable state of a Module.
type Snapshot struct {
	entries map[entryID]Verdict
}

// Verdict returns the verdict on the request with the fingerprint.
func (s *Snapshot) Verdict(service string, fingerprint uint64) Verdict {
	if len(s.entries) == 0 {
		return Clear
	}
	return s.entries[entryID{Service: service, Fingerprint: fingerprint}]
}

// String returns the name of the verdict as written in logs and state dumps.
func (v Verdict) String() string {
	switch v {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}
