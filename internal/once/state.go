package once

// State is the section of a node's state dump about the keys that it owns.
type State struct {
	Token string `json:"token"`
	// Keys is the number of recorded keys, Held the number of those with a request in flight.
	Keys   int `json:"keys"`
	Held   int `json:"held"`
	Epochs int `json:"epochs"`
	// Floors is the number of node IDs whose older epochs are rejected.
	Floors int `json:"floors"`
	// TakenOver is the number of owners that handed their keys over to this node.
	TakenOver  int  `json:"taken-over"`
	HandedOver bool `json:"handed-over"`
}

// LedgerState is the section of a node's state dump about the keys that its agent received.
type LedgerState struct {
	Keys          int `json:"keys"`
	Running       int `json:"running"`
	Floors        int `json:"floors"`
	ResponseBytes int `json:"answer-bytes"`
}

// State iterates over all keys, which takes milliseconds; it is meant for state dumps and metrics.
func (o *Owner) State() State {
	state := State{Token: o.Token()}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		s.module.count(&state)
		s.mu.Unlock()
	}
	return state
}

func (m *ownerModule) count(s *State) {
	s.Keys += m.records.count
	s.Epochs = max(s.Epochs, len(m.records.buckets))
	s.Floors = max(s.Floors, len(m.records.floors))
	s.TakenOver = max(s.TakenOver, len(m.issuers)-1)
	s.HandedOver = s.HandedOver || m.sealed != nil
	for _, b := range m.records.buckets {
		for _, r := range b.Records {
			if r.Held {
				s.Held++
			}
		}
	}
}

// State iterates over all keys, which takes milliseconds; it is meant for state dumps and metrics.
func (l *Ledger) State() LedgerState {
	state := LedgerState{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.module.count(&state)
		s.mu.Unlock()
	}
	return state
}

func (m *ledgerModule) count(s *LedgerState) {
	s.Keys += m.records.count
	s.Floors = max(s.Floors, len(m.records.floors))
	s.ResponseBytes += m.responseBytes
	for _, b := range m.records.buckets {
		for _, r := range b.Records {
			if r.State == ledgerRunning {
				s.Running++
			}
		}
	}
}
