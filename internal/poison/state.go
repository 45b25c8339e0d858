package poison

import "slices"

// State is the part of a node's state dump that covers poison requests.
type State struct {
	Entries []EntryState `json:"entries"`
}

// EntryState describes one fingerprint.
type EntryState struct {
	Service     string `json:"service"`
	Fingerprint uint64 `json:"fingerprint"`
	Verdict     string `json:"verdict"`
}

// State lists all fingerprints that are suspect or quarantined, sorted by service and fingerprint.
func (s *Snapshot) State() State {
	ids := make([]entryID, 0, len(s.entries))
	for id := range s.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, entryID.compare)
	state := State{Entries: make([]EntryState, 0, len(ids))}
	for _, id := range ids {
		state.Entries = append(state.Entries, EntryState{
			Service: id.Service, Fingerprint: id.Fingerprint, Verdict: s.entries[id].String(),
		})
	}
	return state
}
