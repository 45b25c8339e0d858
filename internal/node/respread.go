package node

import (
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// respread reports the crashes at this node to agents that have not heard of them: those that could not be reached, and
// those that joined since. A joining node takes records that may be older than the crash, and the urgent update of it
// went to the nodes that were known before.
func (s *suspicion) respread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, cmd := range s.unreported() {
		s.group.Go(func() { s.spread(cmd) })
	}
}

// unreported returns a command for each own crash of which some agent has not heard; the caller holds the lock.
func (s *suspicion) unreported() []poison.BroadcastCmd {
	var cmds []poison.BroadcastCmd
	known := make(map[trialID]bool)
	for _, entry := range s.module.LocalEntries() {
		id := trialID{entry.Service, entry.Fingerprint}
		known[id] = true
		if !s.spreading[id] && s.lacksReport(id) {
			cmds = append(cmds, poison.BroadcastCmd{Service: entry.Service, Fingerprints: []uint64{entry.Fingerprint}})
		}
	}
	for id := range s.reported {
		if !known[id] {
			delete(s.reported, id)
		}
	}
	return cmds
}

// lacksReport reports whether an agent of the service has not heard of the crash; the caller holds the lock.
func (s *suspicion) lacksReport(id trialID) bool {
	for _, node := range s.agents(id.service) {
		if !s.reported[id][node.Ref] {
			return true
		}
	}
	return false
}

// noteReport records that an agent has heard of the crashes.
func (s *suspicion) noteReport(cmd poison.BroadcastCmd, agent model.NodeRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cmd.Fingerprints {
		id := trialID{cmd.Service, f}
		if s.reported[id] == nil {
			s.reported[id] = make(map[model.NodeRef]bool)
		}
		s.reported[id][agent] = true
	}
}
