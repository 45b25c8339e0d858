package member

import (
	"bytes"
	"math/bits"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	syncInterval = 10 * time.Second
	// busySyncInterval applies after joining and after a synchronisation that transferred at least busyRecords records,
	// as when a region starts or a partition heals. On an ordinary day fewer records differ.
	busySyncInterval = time.Second
	busyRecords      = 4
	// busyBurst and busyRefill bound how often one record counts towards busyRecords, in times and times per second, so
	// that records that change constantly do not cause continuous synchronisation.
	busyBurst  = 12
	busyRefill = 1.0 / 30
	// remoteSyncs sets the share of synchronisations with a random region: one in this many. The others stay in the
	// region of this node.
	remoteSyncs = 4
	// maxSyncRecords bounds the records of one response; the rest follows with the next synchronisation.
	maxSyncRecords = 4000
	// maxSyncVersions is the approximate number of records that two nodes compare in one synchronisation. When a region
	// starts, most records differ for some ten seconds; without the limit each node then transfers dozens of records
	// per second.
	maxSyncVersions = 256
)

const (
	// rootMismatchDelay is how long the digests of two nodes may differ before they synchronise; rumours in flight
	// arrive in less time.
	rootMismatchDelay = 3 * time.Second
	// rootSyncInterval is the least time between two synchronisations that are caused by differing digests.
	rootSyncInterval = 5 * time.Second
)

// syncState is the state of anti-entropy.
type syncState struct {
	next time.Time
	// root is the last digest of this node; changed is when it last changed or a rumour was pending; lastRootSync is
	// the last synchronisation that was caused by differing digests.
	root         uint64
	changed      time.Time
	lastRootSync time.Time
	// transferred counts the records that the current synchronisation sent or requested.
	transferred int
	// busy is set while busySyncInterval applies.
	busy         bool
	unknownFetch time.Time
}

// SyncRequest starts anti-entropy; it carries the version of the sender, and its record when the sender is joining.
type SyncRequest struct {
	Self Rumour `cbor:"1,keyasint"`
	// Full requests the records themselves instead of a comparison of digests.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Buckets holds the lower half of the digest of each bucket.
	Buckets      []byte `cbor:"3,keyasint,omitempty"`
	TicketDigest uint64 `cbor:"4,keyasint,omitempty"`
	Ticket       uint64 `cbor:"5,keyasint,omitempty"`
	Wanted       uint64 `cbor:"6,keyasint,omitempty"`
}

// SyncReply lists the records of the responding node in the buckets that differ.
type SyncReply struct {
	// From is the responding node.
	From model.NodeRef `cbor:"1,keyasint"`
	// Differing has a bit set for each bucket that differs and is compared in this synchronisation.
	Differing   uint64         `cbor:"2,keyasint,omitempty"`
	Versions    RecordVersions `cbor:"3,keyasint"`
	TicketLists []TicketList   `cbor:"4,keyasint,omitempty"`
	// Rumours holds the records of the buckets in Given, or records of other nodes to ask, when the request was full.
	Rumours RumourBatch `cbor:"5,keyasint"`
	Ticket  uint64      `cbor:"6,keyasint,omitempty"`
	// Given has a bit set for each bucket whose records are all sent to the joining node.
	Given uint64 `cbor:"7,keyasint,omitempty"`
	// Records is the number of records of the responding node.
	Records uint64 `cbor:"8,keyasint,omitempty"`
}

// FetchRequest sends records and requests others by key.
type FetchRequest struct {
	Rumours     RumourBatch  `cbor:"1,keyasint"`
	Want        []uint64     `cbor:"2,keyasint,omitempty"`
	TicketLists []TicketList `cbor:"3,keyasint,omitempty"`
}

// FetchReply holds the requested records.
type FetchReply struct {
	Rumours RumourBatch `cbor:"1,keyasint"`
}

func (m *Module) periodicSync() {
	if !m.joined || m.now.Before(m.syncs.next) {
		return
	}
	interval := syncInterval
	if m.syncs.busy = m.isBusy(); m.syncs.busy {
		interval = busySyncInterval
	}
	m.syncs.transferred = 0
	m.syncs.next = m.now.Add(interval/2 + m.jitter(interval))
	region := m.self.record.Node.Region
	keep := anyNode
	if m.random.IntN(remoteSyncs) > 0 {
		keep = func(e *entry) bool { return e.record.Node.Region == region }
	}
	peers := m.randomNodes(1, keep)
	if len(peers) == 0 {
		peers = m.randomNodes(1, anyNode)
	}
	if len(peers) > 0 {
		m.startSync(peers[0].record.Node.PeerAddress, false)
	}
}

// compareRoot synchronises with a peer whose digest differs for rootMismatchDelay. Periodic anti-entropy alone takes
// tens of seconds to reach a small region, because three of four synchronisations stay in the region of the node. While
// rumours are pending the digests differ anyway, so a burst of changes causes no additional traffic. The delay counts
// from the last change of the local digest: nodes that missed the same rumour have equal digests and must not delay
// each other.
func (m *Module) compareRoot(root uint64, address string) {
	own := m.table.root()
	if own != m.syncs.root || !m.joined || len(m.rumours.pending) > 0 {
		m.syncs.root, m.syncs.changed = own, m.now
	}
	if root == own || m.now.Sub(m.syncs.changed) < rootMismatchDelay || m.now.Sub(m.syncs.lastRootSync) < rootSyncInterval {
		return
	}
	m.syncs.lastRootSync = m.now
	m.startSync(address, false)
}

// startSync compares records with another node; it includes the local record when that node may not know it.
func (m *Module) startSync(address string, includeRecord bool) {
	request := SyncRequest{
		Self: m.newRumour(m.self, includeRecord, false), Full: !m.joined, TicketDigest: m.table.ticketDigest, Ticket: m.self.record.Ticket,
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
		m.reject("", ErrMalformed, "synchronisation request")
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
		m.reportNewerTicket(e.record.Node, r.Ticket)
	}
	m.emit(SyncReplyCmd{Reply: reply})
}

func (m *Module) compare(r *SyncRequest, reply *SyncReply) {
	own := m.table.packBuckets()
	for i := range bucketCount {
		offset := i * bucketDigestSize
		if !bytes.Equal(r.Buckets[offset:offset+bucketDigestSize], own[offset:offset+bucketDigestSize]) {
			reply.Differing |= 1 << i
		}
	}
	reply.Differing = m.limitBuckets(reply.Differing)
	for _, e := range m.table.sorted {
		if reply.Differing&(1<<bucketOf(e.key)) != 0 {
			reply.Versions = append(reply.Versions, RecordVersion{
				Key: e.key, Version: e.record.Version, ContentVersion: e.record.ContentVersion, Status: e.status,
			})
		}
	}
	if r.TicketDigest != m.table.ticketDigest {
		reply.TicketLists = m.ticketListsIn(ticketBuckets(reply.Differing))
	}
}

// limitBuckets returns a random selection of the buckets that holds about maxSyncVersions records.
func (m *Module) limitBuckets(differing uint64) uint64 {
	limit := max(1, maxSyncVersions*bucketCount/len(m.table.sorted))
	for bits.OnesCount64(differing) > limit {
		differing &^= 1 << m.random.IntN(bucketCount)
	}
	return differing
}

// ticketBuckets returns the buckets whose ticket numbers are compared. While records differ, ticket numbers mostly
// differ because of them; the ticket lists of 670 nodes take 2.7 kB.
func ticketBuckets(differing uint64) uint64 {
	if differing == 0 {
		return AllBuckets
	}
	return differing
}

// finishSync applies a response and exchanges the records that differ.
func (m *Module) finishSync(msg SyncReplyMsg) {
	r := &msg.Reply
	if err := checkUpdates(r.Rumours, r.TicketLists); err != nil {
		m.reject(msg.Address, err, "synchronisation response")
		return
	}
	for i := range r.Rumours {
		m.apply(&r.Rumours[i], msg.Address, false)
	}
	if !m.joined {
		m.receiveChunk(r)
	}
	m.applyTicketLists(r.TicketLists)
	if peer, ok := m.nodeByRef(r.From); ok {
		m.reportNewerTicket(peer, r.Ticket)
	}
	request := m.difference(r)
	if len(r.TicketLists) > 0 {
		request.TicketLists = m.ticketListsIn(ticketBuckets(r.Differing))
	}
	if len(request.Rumours)+len(request.Want)+len(request.TicketLists) > 0 {
		m.countTransferred(&request)
		m.emit(FetchCmd{Address: msg.Address, Request: request})
	}
	m.scheduleEarlySync()
}

// scheduleEarlySync moves the next synchronisation forward while many records differ.
func (m *Module) scheduleEarlySync() {
	if soon := m.now.Add(busySyncInterval); m.isBusy() && m.syncs.next.After(soon) {
		m.syncs.next = soon
	}
}

// isBusy reports whether the last synchronisation transferred many records, or an earlier one did and the last still
// transferred some.
func (m *Module) isBusy() bool {
	return m.syncs.transferred >= busyRecords || (m.syncs.busy && m.syncs.transferred > 0)
}

// countTransferred counts the records of a synchronisation within the budget of each record.
func (m *Module) countTransferred(request *FetchRequest) {
	for i := range request.Rumours {
		m.countRecord(request.Rumours[i].Key)
	}
	for _, key := range request.Want {
		m.countRecord(key)
	}
}

func (m *Module) countRecord(key uint64) {
	e := m.table.byKey[key]
	if e == nil {
		m.syncs.transferred++
		return
	}
	if e.busyBudget.take(m.now, busyBurst, busyRefill) {
		m.syncs.transferred++
	}
}

// difference compares the record versions of the other node with the local entries of the same buckets.
func (m *Module) difference(r *SyncReply) FetchRequest {
	var request FetchRequest
	theirs := make(map[uint64]*RecordVersion, len(r.Versions))
	for i := range r.Versions {
		v := &r.Versions[i]
		theirs[v.Key] = v
		if e := m.table.byKey[v.Key]; e == nil || e.isBehind(v) {
			request.Want = append(request.Want, v.Key)
		}
	}
	for _, e := range m.table.sorted {
		if r.Differing&(1<<bucketOf(e.key)) == 0 || len(request.Rumours) >= maxSyncRecords {
			continue
		}
		if v := theirs[e.key]; v == nil || e.isAhead(v) {
			request.Rumours = append(request.Rumours, m.newRumour(e, v == nil || e.record.ContentVersion > v.ContentVersion, false))
		}
	}
	return request
}

func (e *entry) isBehind(v *RecordVersion) bool {
	return v.ContentVersion > e.record.ContentVersion || v.Version > e.record.Version ||
		(v.Version == e.record.Version && suspectAsAlive(v.Status) > suspectAsAlive(e.status))
}

func (e *entry) isAhead(v *RecordVersion) bool {
	return e.record.ContentVersion > v.ContentVersion || e.record.Version > v.Version ||
		(e.record.Version == v.Version && suspectAsAlive(e.status) > suspectAsAlive(v.Status))
}

func (m *Module) answerFetch(r FetchRequest) {
	if err := checkUpdates(r.Rumours, r.TicketLists); err != nil {
		m.reject("", err, "fetch request")
		return
	}
	var reply FetchReply
	for _, key := range r.Want {
		if e := m.table.byKey[key]; e != nil && len(reply.Rumours) < maxSyncRecords {
			reply.Rumours = append(reply.Rumours, m.newRumour(e, true, e.rumour != nil && e.rumour.urgent))
		}
	}
	for i := range r.Rumours {
		m.apply(&r.Rumours[i], "", false)
	}
	m.applyTicketLists(r.TicketLists)
	m.countTransferred(&r)
	m.scheduleEarlySync()
	m.emit(FetchReplyCmd{Reply: reply})
}

func (m *Module) finishFetch(msg FetchReplyMsg) {
	if err := checkUpdates(msg.Reply.Rumours, nil); err != nil {
		m.reject("", err, "fetch response")
		return
	}
	for i := range msg.Reply.Rumours {
		m.apply(&msg.Reply.Rumours[i], "", msg.Gossip)
	}
}

// fetch requests a record from the node that mentioned it.
func (m *Module) fetch(source string, key uint64) {
	if source != "" {
		m.emit(FetchCmd{Address: source, Gossip: true, Request: FetchRequest{Want: []uint64{key}}})
	}
}

// fetchUnknown requests the record of an unknown node, at most once per interval; a node that lacks many records gets
// them by synchronisation.
func (m *Module) fetchUnknown(source string, key uint64) {
	if m.joined && !m.syncs.unknownFetch.After(m.now) {
		m.syncs.unknownFetch = m.now.Add(fetchInterval)
		m.fetch(source, key)
	}
}
