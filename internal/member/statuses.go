package member

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// statusListOverhead is the maximum encoded size of a StatusList without its entries, in bytes.
const statusListOverhead = 16

// StatusList holds updates without records that share status and age. An entry takes about 6 bytes, a separate rumour
// 25; the difference matters when a rack or a region fails.
type StatusList struct {
	Status Status `cbor:"1,keyasint"`
	// Age is the number of seconds since the nodes were declared dead or left.
	Age    uint32 `cbor:"2,keyasint,omitempty"`
	Urgent bool   `cbor:"3,keyasint,omitempty"`
	// Entries holds, for each node, its short key, its version, and the difference between its version and its content
	// version, the last two as unsigned varints.
	Entries []byte `cbor:"4,keyasint"`
}

// statusEntry is one entry of a StatusList.
type statusEntry struct {
	short            uint32
	version, content uint64
}

// addStatus adds a rumour without record if it fits into the space, and returns the remaining space.
func (d *Datagram) addStatus(r *Rumour, space int) (int, bool) {
	var buffer [shortKeySize + 2*binary.MaxVarintLen64]byte
	entry := binary.BigEndian.AppendUint32(buffer[:0], shortKey(r.Key))
	entry = binary.AppendUvarint(entry, r.Version)
	entry = binary.AppendUvarint(entry, r.Version-r.ContentVersion)
	list := d.statusListFor(r)
	need := len(entry)
	if list == nil {
		need += statusListOverhead
	}
	if need > space {
		return space, false
	}
	if list == nil {
		d.Statuses = append(d.Statuses, StatusList{Status: r.Status, Age: r.Age, Urgent: r.Urgent})
		list = &d.Statuses[len(d.Statuses)-1]
	}
	list.Entries = append(list.Entries, entry...)
	return space - need, true
}

func (d *Datagram) statusListFor(r *Rumour) *StatusList {
	for i := range d.Statuses {
		if l := &d.Statuses[i]; l.Status == r.Status && l.Age == r.Age && l.Urgent == r.Urgent {
			return l
		}
	}
	return nil
}

// forEach calls visit for each entry; it returns ErrMalformed for invalid input.
func (l *StatusList) forEach(visit func(statusEntry)) error {
	for rest := l.Entries; len(rest) > 0; {
		if len(rest) < shortKeySize {
			return eris.Wrap(ErrMalformed, "truncated status list")
		}
		e := statusEntry{short: binary.BigEndian.Uint32(rest)}
		rest = rest[shortKeySize:]
		version, n := binary.Uvarint(rest)
		lag, k := binary.Uvarint(rest[max(n, 0):])
		if n <= 0 || k <= 0 || lag > version {
			return eris.Wrap(ErrMalformed, "invalid version in a status list")
		}
		e.version, e.content = version, version-lag
		rest = rest[n+k:]
		visit(e)
	}
	return nil
}

func checkStatuses(lists []StatusList) error {
	for i := range lists {
		if s := lists[i].Status; s < StatusAlive || s > StatusLeft {
			return eris.Wrapf(ErrMalformed, "status list with status %d", s)
		}
		if err := lists[i].forEach(func(statusEntry) {}); err != nil {
			return err
		}
	}
	return nil
}

// applyStatuses merges the entries of known nodes; unknown nodes are learned by anti-entropy.
func (m *Module) applyStatuses(lists []StatusList, source string) {
	for i := range lists {
		l := &lists[i]
		_ = l.forEach(func(s statusEntry) { // DecodeDatagram has already checked the lists.
			if e := m.table.byShortKey[s.short]; e != nil {
				m.apply(&Rumour{
					Key: e.key, Version: s.version, ContentVersion: s.content, Status: l.Status, Age: l.Age, Urgent: l.Urgent,
				}, source, true)
			}
		})
	}
}

// addRumour adds a rumour in its shortest encoding if it fits into the space, and returns the remaining space.
func (m *Module) addRumour(d *Datagram, r Rumour, space int) (int, bool) {
	if len(r.Record) == 0 && m.table.byShortKey[shortKey(r.Key)] != nil {
		return d.addStatus(&r, space)
	}
	size := r.size()
	if size > space {
		return space, false
	}
	d.Rumours = append(d.Rumours, r)
	return space - size, true
}
