package member

import (
	"math/bits"
	"time"
)

const (
	// chunkRecords is the approximate number of records that a joining node requests at once; a larger table is
	// requested in chunks from several nodes, so that the listed nodes do not serve the whole state to each node of a
	// starting region.
	chunkRecords = 128
	// chunkInterval is the time between two chunks. It spreads the state of 670 nodes over some 4 s.
	chunkInterval = 500 * time.Millisecond
	// chunkTimeout is how long a node waits for a chunk before it requests it from another node.
	chunkTimeout = 2 * time.Second
	// referralCount is the number of nodes that a listed node names to a joining one; half of them are in the failure
	// domain of the joining node.
	referralCount = 8
	// AllBuckets has the bit of every bucket set, as in SyncReply.Given.
	AllBuckets uint64 = 1<<bucketCount - 1
)

// stateTransfer is the progress of a joining node that receives the records in chunks.
type stateTransfer struct {
	// missing has a bit set for each bucket that is still to be received; zero when no transfer is in progress.
	missing uint64
	// bucketsPerChunk is the number of buckets in a chunk.
	bucketsPerChunk int
	next            time.Time
	// lastReply is the time of the last response.
	lastReply time.Time
}

// answerJoin sends the wanted buckets to a joining node, or all when there are few records, or else names other nodes.
func (m *Module) answerJoin(r *SyncRequest, reply *SyncReply) {
	reply.Records = uint64(len(m.table.sorted))
	wanted := r.Wanted
	if wanted == 0 && len(m.table.sorted) <= chunkRecords {
		wanted = AllBuckets
	}
	reply.Given = wanted &^ m.transfer.missing
	if reply.Given == 0 {
		m.addReferrals(r.Self.Key, reply)
		return
	}
	for _, e := range m.table.sorted {
		if reply.Given&(1<<bucketOf(e.key)) != 0 && len(reply.Rumours) < maxSyncRecords {
			reply.Rumours = append(reply.Rumours, m.newRumour(e, true, false))
		}
	}
}

// addReferrals names nodes that a joining node can request chunks from.
func (m *Module) addReferrals(key uint64, reply *SyncReply) {
	var domain string
	if e := m.table.byKey[key]; e != nil {
		domain = e.record.Node.Domain
	}
	near := m.randomNodes(referralCount/2, func(e *entry) bool { return e.key != key && e.record.Node.Domain == domain })
	far := m.randomNodes(referralCount-len(near), func(e *entry) bool { return e.key != key && e.record.Node.Domain != domain })
	for _, e := range append(near, far...) {
		reply.Rumours = append(reply.Rumours, m.newRumour(e, true, false))
	}
	reply.Rumours = append(reply.Rumours, m.newRumour(m.self, true, false))
}

// receiveChunk marks the buckets of a response as received, and ends the joining phase after the last one.
func (m *Module) receiveChunk(r *SyncReply) {
	if m.transfer.missing == 0 {
		m.transfer.missing = AllBuckets
		m.transfer.bucketsPerChunk = int(max(1, chunkRecords*bucketCount/max(r.Records, 1)))
	}
	m.transfer.missing &^= r.Given
	m.transfer.next, m.transfer.lastReply = m.now.Add(chunkInterval), m.now
	if m.transfer.missing != 0 {
		return
	}
	m.joined = true
	m.gossip(m.self, true, false)
	m.syncs.next = m.now.Add(m.jitter(busySyncInterval))
}

// isTransferring reports whether a state transfer is in progress. Until it ends the incarnation of this node may rise,
// so the node sends no probes: answers to an earlier incarnation are rejected.
func (m *Module) isTransferring() bool { return !m.joined && m.transfer.missing != 0 }

// join starts a synchronisation unless a state transfer is in progress and has not stalled.
func (m *Module) join(address string) {
	if !m.isTransferring() || m.now.Sub(m.transfer.lastReply) >= chunkTimeout {
		m.startSync(address, true)
	}
}

// requestNextChunk requests the next buckets from a random node when they are due.
func (m *Module) requestNextChunk() {
	if m.now.Before(m.transfer.next) {
		return
	}
	m.transfer.next = m.now.Add(chunkTimeout)
	peers := m.randomNodes(1, anyNode)
	if len(peers) == 0 {
		return
	}
	var wanted uint64
	for rest := m.transfer.missing; rest != 0 && bits.OnesCount64(wanted) < m.transfer.bucketsPerChunk; rest &= rest - 1 {
		wanted |= rest & -rest
	}
	m.requestSync(peers[0].record.Node.PeerAddress, SyncRequest{Self: m.newRumour(m.self, false, false), Full: true, Wanted: wanted})
}
