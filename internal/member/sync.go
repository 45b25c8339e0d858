package member

import (
	"bytes"
	"math/bits"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	syncInterval = 10 * time.Second
	// busySyncInterval applies after joining and after a synchronisation that moved at least busyRecords records, as when
	// a region starts or a partition ends. On an ordinary day fewer records differ.
	busySyncInterval = time.Second
	busyRecords      = 4
	// movesBurst and movesRefill bound how often one record counts towards busyRecords, in times and times per second, so
	// that records that change all the time do not lead to constant synchronisation.
	movesBurst  = 12
	movesRefill = 1.0 / 30
	// remoteSyncs is the share of synchronisations with any region, one in this many; the others stay in the own one.
	remoteSyncs = 4
	// maxSyncRecords bounds the records of one answer; the rest follows with the next synchronisation.
	maxSyncRecords = 4000
	// maxSyncHeads is about how many records two nodes compare in one synchronisation. When a region starts, most records
	// differ for some ten seconds; without the bound each node then moves dozens of records a second.
	maxSyncHeads = 256
)

const (
	// rootPatience is how long the digests of peers may differ before one of them is asked; rumours that are still on
	// their way need less.
	rootPatience = 3 * time.Second
	// rootPause bounds how often differing digests lead to a synchronisation.
	rootPause = 5 * time.Second
)

// syncState is the state of anti-entropy.
type syncState struct {
	next time.Time
	// root is the last own digest, changed when it or a pending rumour last changed it; prompted is the last
	// synchronisation because of differing digests.
	root     uint64
	changed  time.Time
	prompted time.Time
	// moved counts the records that the current synchronisation brought or took.
	moved int
	// busy tells that the present interval is the shorter one.
	busy         bool
	unknownFetch time.Time
}

// SyncRequest opens anti-entropy; it states the own version, and the own record of a joining node.
type SyncRequest struct {
	Self Rumour `cbor:"1,keyasint"`
	// Full asks for all records at once.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Buckets holds the lower half of the digest of each bucket.
	Buckets []byte `cbor:"3,keyasint,omitempty"`
	Numbers uint64 `cbor:"4,keyasint,omitempty"`
	Ticket  uint64 `cbor:"5,keyasint,omitempty"`
	Wanted  uint64 `cbor:"6,keyasint,omitempty"`
}

// SyncReply lists what the answering node holds in the buckets that differ.
type SyncReply struct {
	// From is the answering node.
	From model.NodeRef `cbor:"1,keyasint"`
	// Differing has a bit for each bucket that differs and is compared now.
	Differing uint64       `cbor:"2,keyasint,omitempty"`
	Heads     Heads        `cbor:"3,keyasint"`
	Numbers   []TicketList `cbor:"4,keyasint,omitempty"`
	// Rumours holds the records of the given buckets, or those of nodes to ask, when the request was full.
	Rumours Bundle `cbor:"5,keyasint"`
	Ticket  uint64 `cbor:"6,keyasint,omitempty"`
	// Given has a bit for each bucket of which a joining node gets all records.
	Given uint64 `cbor:"7,keyasint,omitempty"`
	// Records is the number of records that the answering node holds.
	Records uint64 `cbor:"8,keyasint,omitempty"`
}

// FetchRequest gives and asks for records by key.
type FetchRequest struct {
	Rumours Bundle       `cbor:"1,keyasint"`
	Want    []uint64     `cbor:"2,keyasint,omitempty"`
	Numbers []TicketList `cbor:"3,keyasint,omitempty"`
}

// FetchReply holds the records that were asked for.
type FetchReply struct {
	Rumours Bundle `cbor:"1,keyasint"`
}

func (m *Module) periodicSync() {
	if !m.joined || m.now.Before(m.syncs.next) {
		return
	}
	interval := syncInterval
	if m.syncs.busy = m.isBusy(); m.syncs.busy {
		interval = busySyncInterval
	}
	m.syncs.moved = 0
	m.syncs.next = m.now.Add(interval/2 + m.jitter(interval))
	region := m.self.record.Node.Region
	keep := anyNode
	if m.random.IntN(remoteSyncs) > 0 {
		keep = func(e *entry) bool { return e.record.Node.Region == region }
	}
	peers := m.choose(1, keep)
	if len(peers) == 0 {
		peers = m.choose(1, anyNode)
	}
	if len(peers) > 0 {
		m.startSync(peers[0].record.Node.PeerAddress, false)
	}
}

// compareRoot synchronises with a peer whose digest differs for a while. Periodic anti-entropy alone takes tens of seconds
// to reach a small region, because three of four synchronisations stay in the own region. While rumours are pending the
// digests differ anyway, so a storm of changes causes no further traffic. The patience counts from the last change of the
// own records: nodes that missed the same rumour have equal digests and must not hold each other back.
func (m *Module) compareRoot(root uint64, address string) {
	own := m.table.root()
	if own != m.syncs.root || !m.joined || len(m.rumours.pending) > 0 {
		m.syncs.root, m.syncs.changed = own, m.now
	}
	if root == own || m.now.Sub(m.syncs.changed) < rootPatience || m.now.Sub(m.syncs.prompted) < rootPause {
		return
	}
	m.syncs.prompted = m.now
	m.startSync(address, false)
}

// startSync compares records with another node; the own record goes along when that node may not know it.
func (m *Module) startSync(address string, introduce bool) {
	request := SyncRequest{
		Self: m.rumourOf(m.self, introduce, false), Full: !m.joined, Numbers: m.table.numbers, Ticket: m.self.record.Ticket,
	}
	if !request.Full {
		request.Buckets = m.table.packBuckets()
	}
	m.requestSync(address, request)
}

func (m *Module) requestSync(address string, request SyncRequest) {
	m.counts.Syncs++
	m.emit(SyncCmd{Address: address, Request: request})
}

func (m *Module) answerSync(r SyncRequest) {
	if checkUpdates([]Rumour{r.Self}, nil) != nil || (!r.Full && len(r.Buckets) != bucketCount*bucketDigestSize) {
		m.refuse("", ErrMalformed, "synchronisation request")
		return
	}
	known := m.table.byKey[r.Self.Key] != nil
	m.apply(&r.Self, "", !known)
	reply := SyncReply{From: m.self.record.Node.Ref, Ticket: m.self.record.Ticket}
	if r.Full {
		m.answerJoin(&r, &reply)
	} else {
		m.compare(&r, &reply)
	}
	if e := m.table.byKey[r.Self.Key]; e != nil {
		m.noteBehind(e.record.Node, r.Ticket)
	}
	m.emit(SyncReplyCmd{Reply: reply})
}

func (m *Module) compare(r *SyncRequest, reply *SyncReply) {
	own := m.table.packBuckets()
	for i := range bucketCount {
		part := i * bucketDigestSize
		if !bytes.Equal(r.Buckets[part:part+bucketDigestSize], own[part:part+bucketDigestSize]) {
			reply.Differing |= 1 << i
		}
	}
	reply.Differing = m.someBuckets(reply.Differing)
	for _, e := range m.table.sorted {
		if reply.Differing&(1<<bucketOf(e.key)) != 0 {
			reply.Heads = append(reply.Heads, Head{
				Key: e.key, Version: e.record.Version, Content: e.record.ContentVersion, Status: e.status,
			})
		}
	}
	if r.Numbers != m.table.numbers {
		reply.Numbers = m.numbersIn(numberBuckets(reply.Differing))
	}
}

// someBuckets returns a random choice of the buckets that holds about maxSyncHeads records.
func (m *Module) someBuckets(differing uint64) uint64 {
	limit := max(1, maxSyncHeads*bucketCount/len(m.table.sorted))
	for bits.OnesCount64(differing) > limit {
		differing &^= 1 << m.random.IntN(bucketCount)
	}
	return differing
}

// numberBuckets returns the buckets of which ticket numbers are compared. While records differ, the numbers do mostly
// because of these; those of 670 nodes take 2.7 kB.
func numberBuckets(differing uint64) uint64 {
	if differing == 0 {
		return AllBuckets
	}
	return differing
}

// finishSync takes over what the other node holds and exchanges the records that differ.
func (m *Module) finishSync(msg SyncReplyMsg) {
	r := &msg.Reply
	if err := checkUpdates(r.Rumours, r.Numbers); err != nil {
		m.refuse(msg.Address, err, "synchronisation answer")
		return
	}
	for i := range r.Rumours {
		m.apply(&r.Rumours[i], msg.Address, false)
	}
	if !m.joined {
		m.takePart(r)
	}
	m.applyNumbers(r.Numbers)
	if peer, ok := m.nodeOf(r.From); ok {
		m.noteBehind(peer, r.Ticket)
	}
	request := m.difference(r)
	if len(r.Numbers) > 0 {
		request.Numbers = m.numbersIn(numberBuckets(r.Differing))
	}
	if len(request.Rumours)+len(request.Want)+len(request.Numbers) > 0 {
		m.countMoved(&request)
		m.emit(FetchCmd{Address: msg.Address, Request: request})
	}
	m.hastenSync()
}

// hastenSync brings the next synchronisation forward while much differs.
func (m *Module) hastenSync() {
	if soon := m.now.Add(busySyncInterval); m.isBusy() && m.syncs.next.After(soon) {
		m.syncs.next = soon
	}
}

// isBusy reports whether much differs, or did before and something still does.
func (m *Module) isBusy() bool {
	return m.syncs.moved >= busyRecords || (m.syncs.busy && m.syncs.moved > 0)
}

// countMoved counts the records of a synchronisation that were not counted lately.
func (m *Module) countMoved(request *FetchRequest) {
	for i := range request.Rumours {
		m.countOne(request.Rumours[i].Key)
	}
	for _, key := range request.Want {
		m.countOne(key)
	}
}

func (m *Module) countOne(key uint64) {
	e := m.table.byKey[key]
	if e == nil {
		m.syncs.moved++
		return
	}
	if e.moves.take(m.now, movesBurst, movesRefill) {
		m.syncs.moved++
	}
}

// difference compares the heads of the other node with the own entries of the same buckets.
func (m *Module) difference(r *SyncReply) FetchRequest {
	var request FetchRequest
	theirs := make(map[uint64]*Head, len(r.Heads))
	for i := range r.Heads {
		h := &r.Heads[i]
		theirs[h.Key] = h
		if e := m.table.byKey[h.Key]; e == nil || e.isBehind(h) {
			request.Want = append(request.Want, h.Key)
		}
	}
	for _, e := range m.table.sorted {
		if r.Differing&(1<<bucketOf(e.key)) == 0 || len(request.Rumours) >= maxSyncRecords {
			continue
		}
		if h := theirs[e.key]; h == nil || e.isAhead(h) {
			request.Rumours = append(request.Rumours, m.rumourOf(e, h == nil || e.record.ContentVersion > h.Content, false))
		}
	}
	return request
}

func (e *entry) isBehind(h *Head) bool {
	return h.Content > e.record.ContentVersion || h.Version > e.record.Version ||
		(h.Version == e.record.Version && foldSuspect(h.Status) > foldSuspect(e.status))
}

func (e *entry) isAhead(h *Head) bool {
	return e.record.ContentVersion > h.Content || e.record.Version > h.Version ||
		(e.record.Version == h.Version && foldSuspect(e.status) > foldSuspect(h.Status))
}

func (m *Module) answerFetch(r FetchRequest) {
	if err := checkUpdates(r.Rumours, r.Numbers); err != nil {
		m.refuse("", err, "fetch request")
		return
	}
	var reply FetchReply
	for _, key := range r.Want {
		if e := m.table.byKey[key]; e != nil && len(reply.Rumours) < maxSyncRecords {
			reply.Rumours = append(reply.Rumours, m.rumourOf(e, true, e.rumour != nil && e.rumour.urgent))
		}
	}
	for i := range r.Rumours {
		m.apply(&r.Rumours[i], "", false)
	}
	m.applyNumbers(r.Numbers)
	m.countMoved(&r)
	m.hastenSync()
	m.emit(FetchReplyCmd{Reply: reply})
}

func (m *Module) finishFetch(msg FetchReplyMsg) {
	if err := checkUpdates(msg.Reply.Rumours, nil); err != nil {
		m.refuse("", err, "fetch answer")
		return
	}
	for i := range msg.Reply.Rumours {
		m.apply(&msg.Reply.Rumours[i], "", msg.Gossip)
	}
}

// fetch asks the node that mentioned a record for it.
func (m *Module) fetch(source string, key uint64) {
	if source != "" {
		m.emit(FetchCmd{Address: source, Gossip: true, Request: FetchRequest{Want: []uint64{key}}})
	}
}

// fetchUnknown asks for the record of an unknown node, at most once per interval: a node that knows few others
// synchronises anyway.
func (m *Module) fetchUnknown(source string, key uint64) {
	if m.joined && !m.syncs.unknownFetch.After(m.now) {
		m.syncs.unknownFetch = m.now.Add(fetchInterval)
		m.fetch(source, key)
	}
}
