package member

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts of the table that anti-entropy compares separately.
const bucketCount = 64

// bucketDigestSize is the part of the digest of a bucket that a synchronisation sends, in bytes.
const bucketDigestSize = 4

// entry is what the module holds about one run of one node.
//
// It is the join of two registers that only grow: (version, status) and the content with the version of its last
// change. Updates can therefore arrive in any order.
type entry struct {
	record NodeRecord
	// encoded is the content of the record as it was received, for forwarding.
	encoded []byte
	key     uint64
	status  Status
	// since is when the status became suspect or dead.
	since time.Time
	// digest and numberDigest are the contributions to the sums of the table.
	digest       uint64
	numberDigest uint64
	// fetchAgain is the earliest time at which missing content is asked for again.
	fetchAgain time.Time
	rumour     *rumour
	// urgents and moves bound how often the record is pushed and hastens a synchronisation.
	urgents allowance
	moves   allowance
	// numberSends counts how often the ticket number was passed on; it is meaningful while numberQueued.
	numberSends  int
	numberQueued bool
}

// table holds at most one entry per node ID.
type table struct {
	sorted  []*entry
	byKey   map[uint64]*entry
	byShort map[uint32]*entry
	buckets [bucketCount]uint64
	numbers uint64
	alive   int
}

func newTable() *table {
	return &table{byKey: make(map[uint64]*entry), byShort: make(map[uint32]*entry)}
}

// refKey identifies a run of a node in datagrams.
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
	if _, taken := t.byShort[shortKey(e.key)]; taken {
		// Two keys share their upper half; numbers of neither travel by it, anti-entropy carries them.
		t.byShort[shortKey(e.key)] = nil
	} else {
		t.byShort[shortKey(e.key)] = e
	}
	if !e.status.gone() {
		t.alive++
	}
	t.refresh(e)
}

func (t *table) remove(e *entry) {
	i, _ := t.search(e.record.Node.Ref.ID)
	t.sorted = slices.Delete(t.sorted, i, i+1)
	delete(t.byKey, e.key)
	delete(t.byShort, shortKey(e.key))
	if !e.status.gone() {
		t.alive--
	}
	t.buckets[bucketOf(e.key)] ^= e.digest
	t.numbers ^= e.numberDigest
	e.digest, e.numberDigest = 0, 0
}

// setStatus changes the status and keeps the count of nodes that are not dead.
func (t *table) setStatus(e *entry, s Status, since time.Time) {
	if !e.status.gone() {
		t.alive--
	}
	e.status, e.since = s, since
	if !s.gone() {
		t.alive++
	}
}

// refresh brings the sums up to date after a change of the entry.
func (t *table) refresh(e *entry) {
	t.buckets[bucketOf(e.key)] ^= e.digest
	t.numbers ^= e.numberDigest
	e.digest, e.numberDigest = e.sum(), 0
	if !e.status.gone() {
		e.numberDigest = digest(e.key, e.record.Ticket, 0, 0)
	}
	t.buckets[bucketOf(e.key)] ^= e.digest
	t.numbers ^= e.numberDigest
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

// sum leaves suspicion out, because it ends by itself within seconds.
func (e *entry) sum() uint64 {
	return digest(e.key, e.record.Version, e.record.ContentVersion, uint64(foldSuspect(e.status)))
}

func foldSuspect(s Status) Status {
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
