package node

import (
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// rebroadcast reports the crashes at this node to agents that have not received them: those that could not be reached,
// and those that joined since. A joining node receives records that may be older than the crash, and the urgent update
// of the record went only to the nodes that were known before.
func (s *poisonDetector) rebroadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for _, cmd := range s.pendingBroadcasts() {
		s.group.Go(func() { s.broadcast(cmd) })
	}
}

// pendingBroadcasts returns a command for each crash at this node that some agent has not received; the caller holds
// the lock.
func (s *poisonDetector) pendingBroadcasts() []poison.BroadcastCmd {
	var cmds []poison.BroadcastCmd
	known := make(map[suspectID]bool)
	for _, entry := range s.module.LocalEntries() {
		id := suspectID{entry.Service, entry.Fingerprint}
		known[id] = true
		if !s.broadcasting[id] && s.hasUninformedAgent(id) {
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

// hasUninformedAgent reports whether some agent of the service has not received the crash; the caller holds the lock.
func (s *poisonDetector) hasUninformedAgent(id suspectID) bool {
	for _, node := range s.agents(id.service) {
		if !s.reported[id][node.Ref] {
			return true
		}
	}
	return false
}

// markReported records that an agent has received the crashes.
func (s *poisonDetector) markReported(cmd poison.BroadcastCmd, agent model.NodeRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range cmd.Fingerprints {
		id := suspectID{cmd.Service, f}
		if s.reported[id] == nil {
			s.reported[id] = make(map[model.NodeRef]bool)
		}
		s.reported[id][agent] = true
	}
}
