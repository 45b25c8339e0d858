package ticket

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// starter decides when a starting node has compared enough sources to serve callers.
type starter struct {
	done       bool
	began      time.Time
	peersKnown bool
	peers      []model.NodeRef
	asked      map[model.NodeRef]bool
	answered   map[Source]bool
	// vouched tells that the platform answered, or a node that is not starting itself. Nodes that start together would
	// otherwise take each other's empty configurations for the fleet's.
	vouched bool
	failed  map[Source]bool
}

func newStarter() starter {
	return starter{
		asked:    make(map[model.NodeRef]bool),
		answered: make(map[Source]bool),
		failed:   make(map[Source]bool),
	}
}

// setPeers asks peers for what follows the number while the node starts.
func (s *starter) setPeers(peers []model.NodeRef, number uint64) []Cmd {
	if s.done {
		return nil
	}
	s.peersKnown = true
	s.peers = peers
	s.done = s.complete()
	return s.askMore(number)
}

// askMore keeps as many peers asked as are needed; a peer that failed is replaced by another.
func (s *starter) askMore(number uint64) []Cmd {
	var cmds []Cmd
	for _, peer := range s.peers {
		if s.done || s.wanted() <= 0 {
			break
		}
		if !s.asked[peer] {
			s.asked[peer] = true
			cmds = append(cmds, FetchCmd{Source: Source{Peer: peer}, After: number})
		}
	}
	return cmds
}

// wanted returns how many more peers are to be asked.
func (s *starter) wanted() int {
	useful := 0
	for peer := range s.asked {
		if !s.failed[Source{Peer: peer}] {
			useful++
		}
	}
	return startPeers - useful
}

func (s *starter) answer(source Source, starting bool) {
	// The operator's tool knows one ticket, not the configuration.
	if s.done || source == Operator {
		return
	}
	s.answered[source] = true
	s.vouched = s.vouched || !starting
	delete(s.failed, source)
	s.done = s.complete()
}

func (s *starter) fail(source Source, number uint64) []Cmd {
	if s.done || s.answered[source] {
		return nil
	}
	s.failed[source] = true
	s.done = s.complete()
	return s.askMore(number)
}

// tick ends the start after a bounded wait when at least one source could vouch for its answer.
func (s *starter) tick(now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	if !s.done && s.vouched && now.Sub(s.began) >= startWait {
		s.done = true
	}
}

// complete reports whether the platform answered or failed, and as many peers answered as are needed and known.
func (s *starter) complete() bool {
	peers := 0
	for source := range s.answered {
		if source != Platform {
			peers++
		}
	}
	platformSettled := s.answered[Platform] || s.failed[Platform]
	return platformSettled && s.peersKnown && s.vouched && peers >= min(startPeers, len(s.peers))
}
