package once

// State is the part of a node's state dump that concerns keys.
type State struct {
	Token string `json:"token"`
	// Keys counts the keys that the owner remembers, Held those of sends in flight.
	Keys   int `json:"keys"`
	Held   int `json:"held"`
	Epochs int `json:"epochs"`
	// Floors counts the node IDs of which old epochs are refused.
	Floors int `json:"floors"`
	// TakenOver counts the owners that handed their keys over to this node.
	TakenOver  int  `json:"taken-over"`
	HandedOver bool `json:"handed-over"`
}

// LedgerState is the part of a node's state dump that concerns the keys of its targets.
type LedgerState struct {
	Keys        int `json:"keys"`
	Running     int `json:"running"`
	Floors      int `json:"floors"`
	AnswerBytes int `json:"answer-bytes"`
}

// State counts all keys, which takes milliseconds; it is meant for state dumps and metrics.
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
	s.TakenOver = max(s.TakenOver, len(m.domains)-1)
	s.HandedOver = s.HandedOver || m.sealed != nil
	for _, b := range m.records.buckets {
		for _, r := range b.Records {
			if r.Held {
				s.Held++
			}
		}
	}
}

// State counts all keys, which takes milliseconds; it is meant for state dumps and metrics.
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
	s.AnswerBytes += m.total
	for _, b := range m.records.buckets {
		for _, r := range b.Records {
			if r.State == ledgerRunning {
				s.Running++
			}
		}
	}
}
