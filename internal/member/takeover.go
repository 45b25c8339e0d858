package member

import (
	"math/bits"
	"time"
)

const (
	// partRecords is about how many records a joining node takes at once; a larger table comes in parts from several
	// nodes, so that the listed nodes do not serve the whole state to each node of a region that starts.
	partRecords = 128
	// partPause is the time between two parts. It spreads the state of 670 nodes over some 4 s.
	partPause = 500 * time.Millisecond
	// partPatience is how long a node waits for a part before it asks another node for it.
	partPatience = 2 * time.Second
	// introduced is the number of nodes that a listed node names to a joining one: half of its failure domain.
	introduced = 8
	// AllBuckets has the bit of every bucket, as in SyncReply.Given.
	AllBuckets uint64 = 1<<bucketCount - 1
)

// takeover is the state of a joining node that takes the records in parts.
type takeover struct {
	// missing has a bit for each bucket that is still to come; zero when no records are under way.
	missing uint64
	// atOnce is the number of buckets in a part.
	atOnce int
	next   time.Time
	// answered is when the last answer came.
	answered time.Time
}

// answerJoin gives the wanted buckets to a joining node, or all when there are few records, or else names other nodes.
func (m *Module) answerJoin(r *SyncRequest, reply *SyncReply) {
	reply.Records = uint64(len(m.table.sorted))
	wanted := r.Wanted
	if wanted == 0 && len(m.table.sorted) <= partRecords {
		wanted = AllBuckets
	}
	reply.Given = wanted &^ m.takeover.missing
	if reply.Given == 0 {
		m.introduce(r.Self.Key, reply)
		return
	}
	for _, e := range m.table.sorted {
		if reply.Given&(1<<bucketOf(e.key)) != 0 && len(reply.Rumours) < maxSyncRecords {
			reply.Rumours = append(reply.Rumours, m.rumourOf(e, true, false))
		}
	}
}

// introduce names nodes that a joining node can ask.
func (m *Module) introduce(key uint64, reply *SyncReply) {
	var domain string
	if e := m.table.byKey[key]; e != nil {
		domain = e.record.Node.Domain
	}
	near := m.choose(introduced/2, func(e *entry) bool { return e.key != key && e.record.Node.Domain == domain })
	far := m.choose(introduced-len(near), func(e *entry) bool { return e.key != key && e.record.Node.Domain != domain })
	for _, e := range append(near, far...) {
		reply.Rumours = append(reply.Rumours, m.rumourOf(e, true, false))
	}
	reply.Rumours = append(reply.Rumours, m.rumourOf(m.self, true, false))
}

// takePart notes the buckets that an answer gave to the joining node, and ends the joining phase after the last one.
func (m *Module) takePart(r *SyncReply) {
	if m.takeover.missing == 0 {
		m.takeover.missing = AllBuckets
		m.takeover.atOnce = int(max(1, partRecords*bucketCount/max(r.Records, 1)))
	}
	m.takeover.missing &^= r.Given
	m.takeover.next, m.takeover.answered = m.now.Add(partPause), m.now
	if m.takeover.missing != 0 {
		return
	}
	m.joined = true
	m.spread(m.self, true, false)
	m.syncs.next = m.now.Add(m.jitter(busySyncInterval))
}

// isTakingOver reports whether records are under way. Until they are there the own incarnation can rise, so the node
// probes nobody: answers to an earlier incarnation are refused.
func (m *Module) isTakingOver() bool { return !m.joined && m.takeover.missing != 0 }

// join opens a synchronisation unless records are under way already and come without long gaps.
func (m *Module) join(address string) {
	if !m.isTakingOver() || m.now.Sub(m.takeover.answered) >= partPatience {
		m.startSync(address, true)
	}
}

// askForPart asks a random node for the next buckets when it is time.
func (m *Module) askForPart() {
	if m.now.Before(m.takeover.next) {
		return
	}
	m.takeover.next = m.now.Add(partPatience)
	peers := m.choose(1, anyNode)
	if len(peers) == 0 {
		return
	}
	var wanted uint64
	for rest := m.takeover.missing; rest != 0 && bits.OnesCount64(wanted) < m.takeover.atOnce; rest &= rest - 1 {
		wanted |= rest & -rest
	}
	m.requestSync(peers[0].record.Node.PeerAddress, SyncRequest{Self: m.rumourOf(m.self, false, false), Full: true, Wanted: wanted})
}
