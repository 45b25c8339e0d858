package ticket

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// startup decides when a starting node has compared enough sources to serve callers.
type startup struct {
	done       bool
	startedAt  time.Time
	peersKnown bool
	peers      []model.NodeRef
	asked      map[model.NodeRef]bool
	answered   map[Source]bool
	// confirmed is set once the platform or a node that is not starting itself has answered. Without it, nodes that
	// start together would take each other's empty configurations for the configuration of the fleet.
	confirmed bool
	failed    map[Source]bool
}

func newStartup() startup {
	return startup{
		asked:    make(map[model.NodeRef]bool),
		answered: make(map[Source]bool),
		failed:   make(map[Source]bool),
	}
}

// setPeers sets the live peers and, while the node is starting, asks some of them for the tickets after the number.
func (s *startup) setPeers(peers []model.NodeRef, number uint64) []Cmd {
	if s.done {
		return nil
	}
	s.peersKnown = true
	s.peers = peers
	s.done = s.complete()
	return s.askPeers(number)
}

// askPeers returns fetches until enough peers are asked; a peer that failed is replaced by another.
func (s *startup) askPeers(number uint64) []Cmd {
	var cmds []Cmd
	for _, peer := range s.peers {
		if s.done || s.missingPeers() <= 0 {
			break
		}
		if !s.asked[peer] {
			s.asked[peer] = true
			cmds = append(cmds, FetchCmd{Source: Source{Peer: peer}, After: number})
		}
	}
	return cmds
}

// missingPeers returns how many more peers must be asked.
func (s *startup) missingPeers() int {
	useful := 0
	for peer := range s.asked {
		if !s.failed[Source{Peer: peer}] {
			useful++
		}
	}
	return startPeers - useful
}

func (s *startup) recordAnswer(source Source, starting bool) {
	// The operator's tool knows one ticket, not the whole configuration.
	if s.done || source == Operator {
		return
	}
	s.answered[source] = true
	s.confirmed = s.confirmed || !starting
	delete(s.failed, source)
	s.done = s.complete()
}

func (s *startup) recordFailure(source Source, number uint64) []Cmd {
	if s.done || s.answered[source] {
		return nil
	}
	s.failed[source] = true
	s.done = s.complete()
	return s.askPeers(number)
}

// tick ends the startup after startWait if at least one confirmed source has answered.
func (s *startup) tick(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if !s.done && s.confirmed && now.Sub(s.startedAt) >= startWait {
		s.done = true
	}
}

// complete reports whether the platform answered or failed, and as many peers answered as are required and known.
func (s *startup) complete() bool {
	peers := 0
	for source := range s.answered {
		if source != Platform {
			peers++
		}
	}
	platformSettled := s.answered[Platform] || s.failed[Platform]
	return platformSettled && s.peersKnown && s.confirmed && peers >= min(startPeers, len(s.peers))
}
