package member

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// statusListOverhead is the most bytes that a StatusList takes besides its entries.
const statusListOverhead = 16

// StatusList holds updates without records that share status and age. A list entry takes about 6 bytes, a rumour of its
// own 25, which counts when a rack or a region is lost.
type StatusList struct {
	Status Status `cbor:"1,keyasint"`
	// Age is the number of seconds since the nodes died.
	Age    uint32 `cbor:"2,keyasint,omitempty"`
	Urgent bool   `cbor:"3,keyasint,omitempty"`
	// Entries holds, for each node, the upper four bytes of its key, its version, and by how much its content is older,
	// the last two as unsigned varints.
	Entries []byte `cbor:"4,keyasint"`
}

// statusEntry is one entry of a StatusList.
type statusEntry struct {
	short            uint32
	version, content uint64
}

// add packs a rumour without record if it fits into the space, and reports the space that is left.
func (d *Datagram) add(r *Rumour, space int) (int, bool) {
	var buffer [shortKeySize + 2*binary.MaxVarintLen64]byte
	entry := binary.BigEndian.AppendUint32(buffer[:0], shortKey(r.Key))
	entry = binary.AppendUvarint(entry, r.Version)
	entry = binary.AppendUvarint(entry, r.Version-r.ContentVersion)
	list := d.listFor(r)
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

func (d *Datagram) listFor(r *Rumour) *StatusList {
	for i := range d.Statuses {
		if l := &d.Statuses[i]; l.Status == r.Status && l.Age == r.Age && l.Urgent == r.Urgent {
			return l
		}
	}
	return nil
}

// each calls the function for each entry; it returns ErrMalformed when the bytes are not a list.
func (l *StatusList) each(visit func(statusEntry)) error {
	for rest := l.Entries; len(rest) > 0; {
		if len(rest) < shortKeySize {
			return eris.Wrap(ErrMalformed, "truncated list of statuses")
		}
		e := statusEntry{short: binary.BigEndian.Uint32(rest)}
		rest = rest[shortKeySize:]
		version, n := binary.Uvarint(rest)
		older, k := binary.Uvarint(rest[max(n, 0):])
		if n <= 0 || k <= 0 || older > version {
			return eris.Wrap(ErrMalformed, "version in a list of statuses")
		}
		e.version, e.content = version, version-older
		rest = rest[n+k:]
		visit(e)
	}
	return nil
}

func checkStatuses(lists []StatusList) error {
	for i := range lists {
		if s := lists[i].Status; s < StatusAlive || s > StatusLeft {
			return eris.Wrapf(ErrMalformed, "list of statuses %d", s)
		}
		if err := lists[i].each(func(statusEntry) {}); err != nil {
			return err
		}
	}
	return nil
}

// applyStatuses joins the entries of known nodes; unknown ones come with anti-entropy.
func (m *Module) applyStatuses(lists []StatusList, source string) {
	for i := range lists {
		l := &lists[i]
		_ = l.each(func(s statusEntry) { // The datagram was checked when it was decoded.
			if e := m.table.byShort[s.short]; e != nil {
				m.apply(&Rumour{
					Key: e.key, Version: s.version, ContentVersion: s.content, Status: l.Status, Age: l.Age, Urgent: l.Urgent,
				}, source, true)
			}
		})
	}
}

// addRumour packs a rumour in its shortest form if it fits into the space, and reports the space that is left.
func (m *Module) addRumour(d *Datagram, r Rumour, space int) (int, bool) {
	if len(r.Record) == 0 && m.table.byShort[shortKey(r.Key)] != nil {
		return d.add(&r, space)
	}
	size := r.size()
	if size > space {
		return space, false
	}
	d.Rumours = append(d.Rumours, r)
	return space - size, true
}
