package member

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of partitions of the table that anti-entropy compares separately.
const bucketCount = 64

// bucketDigestSize is the number of bytes of a bucket digest that a synchronisation sends.
const bucketDigestSize = 4

// entry is the state of one run of a node.
//
// It combines two registers that only grow, (version, status) and (content version, content), so updates commute and
// may arrive in any order.
type entry struct {
	record NodeRecord
	// encoded is the content of the record as received, for forwarding.
	encoded []byte
	key     uint64
	status  Status
	// since is when the status last changed.
	since time.Time
	// digest and ticketDigest are the contributions of the entry to the digests of the table.
	digest       uint64
	ticketDigest uint64
	// nextFetch is the earliest time to request missing content again.
	nextFetch time.Time
	rumour    *rumour
	// urgentBudget and busyBudget bound how often the record is pushed and how often it counts towards an early
	// synchronisation.
	urgentBudget tokenBucket
	busyBudget   tokenBucket
	// ticketSends counts how often the ticket number was sent; it is valid while ticketQueued is set.
	ticketSends  int
	ticketQueued bool
}

// table holds at most one entry per node ID.
type table struct {
	sorted       []*entry
	byKey        map[uint64]*entry
	byShortKey   map[uint32]*entry
	buckets      [bucketCount]uint64
	ticketDigest uint64
	alive        int
}

func newTable() *table {
	return &table{byKey: make(map[uint64]*entry), byShortKey: make(map[uint32]*entry)}
}

// refKey returns the key of a run of a node in datagrams.
func refKey(ref model.NodeRef) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(ref.ID), ref.Incarnation))
}

func shortKey(key uint64) uint32 {
	return uint32(key >> 32)
}

func bucketOf(key uint64) int {
	return int(key % bucketCount)
}

func (t *table) byID(id string) *entry {
	i, found := t.search(id)
	if !found {
		return nil
	}
	return t.sorted[i]
}

func (t *table) search(id string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(e *entry, id string) int {
		return strings.Compare(e.record.Node.Ref.ID, id)
	})
}

// insert adds an entry whose ID is not in the table.
func (t *table) insert(e *entry) {
	i, _ := t.search(e.record.Node.Ref.ID)
	t.sorted = slices.Insert(t.sorted, i, e)
	t.byKey[e.key] = e
	if _, taken := t.byShortKey[shortKey(e.key)]; taken {
		// Two keys share a short key. Ticket lists and status lists then cover neither of them; anti-entropy does.
		t.byShortKey[shortKey(e.key)] = nil
	} else {
		t.byShortKey[shortKey(e.key)] = e
	}
	if !e.status.deadOrLeft() {
		t.alive++
	}
	t.updateDigests(e)
}

func (t *table) remove(e *entry) {
	i, _ := t.search(e.record.Node.Ref.ID)
	t.sorted = slices.Delete(t.sorted, i, i+1)
	delete(t.byKey, e.key)
	delete(t.byShortKey, shortKey(e.key))
	if !e.status.deadOrLeft() {
		t.alive--
	}
	t.buckets[bucketOf(e.key)] ^= e.digest
	t.ticketDigest ^= e.ticketDigest
	e.digest, e.ticketDigest = 0, 0
}

// setStatus changes the status and updates the count of nodes that are not dead or left.
func (t *table) setStatus(e *entry, s Status, since time.Time) {
	if !e.status.deadOrLeft() {
		t.alive--
	}
	e.status, e.since = s, since
	if !s.deadOrLeft() {
		t.alive++
	}
}

// updateDigests updates the digests of the table after a change of the entry.
func (t *table) updateDigests(e *entry) {
	t.buckets[bucketOf(e.key)] ^= e.digest
	t.ticketDigest ^= e.ticketDigest
	e.digest, e.ticketDigest = e.recordDigest(), 0
	if !e.status.deadOrLeft() {
		e.ticketDigest = digest(e.key, e.record.Ticket, 0, 0)
	}
	t.buckets[bucketOf(e.key)] ^= e.digest
	t.ticketDigest ^= e.ticketDigest
}

func (t *table) root() uint64 {
	var sum uint64
	for _, b := range t.buckets {
		sum ^= b
	}
	return sum
}

// packBuckets returns the lower half of the digest of each bucket.
func (t *table) packBuckets() []byte {
	packed := make([]byte, 0, bucketCount*bucketDigestSize)
	for _, b := range t.buckets {
		packed = binary.BigEndian.AppendUint32(packed, uint32(b))
	}
	return packed
}

// recordDigest treats suspect as alive, because a suspicion ends within seconds.
func (e *entry) recordDigest() uint64 {
	return digest(e.key, e.record.Version, e.record.ContentVersion, uint64(suspectAsAlive(e.status)))
}

func suspectAsAlive(s Status) Status {
	if s == StatusSuspect {
		return StatusAlive
	}
	return s
}

func digest(parts ...uint64) uint64 {
	var buffer [4 * 8]byte
	for i, p := range parts {
		binary.BigEndian.PutUint64(buffer[i*8:], p)
	}
	return xxhash.Sum64(buffer[:])
}
