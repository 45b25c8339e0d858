package roster

import "bytes"

// OwnedRow decides when to write a row that only this process writes. It is not safe for concurrent use.
type OwnedRow struct {
	partition, key string
	desired        []byte
	// revision counts the desired values; it is 0 before the first one. storedRevision is the revision that the row holds,
	// or 0 if it holds a value of another writer.
	revision, storedRevision uint64
	stored                   []byte
	exists                   bool
	version                  uint64
	writing                  bool
	// era is the era of the store in which the row had the version.
	era uint64
	// deferred is true from the begin of an era that lost the value to the next SetValueMsg.
	deferred bool
}

// OwnedRowMsg is an input of OwnedRow.Update.
type OwnedRowMsg interface{ ownedRowMsg() }

// SetValueMsg sets the value that the row should have.
type SetValueMsg struct{ Value []byte }

// ObservedMsg reports the row as a watch returned it.
type ObservedMsg struct{ Row Row }

// EraMsg reports the row as it was when all rows were read in an era; a row that does not exist has version 0.
type EraMsg struct {
	Era uint64
	Row Row
}

// WrittenMsg reports that the write took effect. Era is the latest that was known before the write.
type WrittenMsg struct {
	Value    []byte
	Version  uint64
	Revision uint64
	Era      uint64
}

// ConflictMsg reports that the row has a version other than the expected one.
type ConflictMsg struct{ Current Row }

// WriteFailedMsg reports that the write was refused or that its outcome is unknown.
type WriteFailedMsg struct{}

func (SetValueMsg) ownedRowMsg()    {}
func (ObservedMsg) ownedRowMsg()    {}
func (EraMsg) ownedRowMsg()         {}
func (WrittenMsg) ownedRowMsg()     {}
func (ConflictMsg) ownedRowMsg()    {}
func (WriteFailedMsg) ownedRowMsg() {}

// WriteCmd requests a conditional write. Backoff is true when the previous write failed, so that this one should wait.
type WriteCmd struct {
	Row      Row
	Expected uint64
	Revision uint64
	Backoff  bool
}

// NewOwnedRow returns the state of a row whose stored value is unknown.
func NewOwnedRow(partition, key string) *OwnedRow {
	return &OwnedRow{partition: partition, key: key}
}

// Revision returns the revision of the desired value; it is 0 before the first one.
func (o *OwnedRow) Revision() uint64 { return o.revision }

// StoredRevision returns the revision that the row holds; it is 0 if the row holds none of them.
func (o *OwnedRow) StoredRevision() uint64 { return o.storedRevision }

// Stored reports whether the row holds the desired value.
func (o *OwnedRow) Stored() bool {
	return o.revision > 0 && o.exists && bytes.Equal(o.stored, o.desired)
}

// Update applies one message and returns the write to start, or nil. At most one write is in progress at a time.
func (o *OwnedRow) Update(msg OwnedRowMsg) *WriteCmd {
	failed := false
	switch msg := msg.(type) {
	case SetValueMsg:
		o.deferred = false
		if o.revision == 0 || !bytes.Equal(o.desired, msg.Value) {
			o.desired = msg.Value
			o.revision++
		}
	case ObservedMsg:
		o.observe(msg.Row)
	case EraMsg:
		if msg.Era > o.era {
			o.beginEra(msg.Era, msg.Row)
			o.deferred = o.revision > 0 && !o.Stored()
		}
	case WrittenMsg:
		o.writing = false
		if msg.Era < o.era {
			break // The store has come back from a copy since, which may lack the write.
		}
		o.observe(Row{Value: msg.Value, Version: msg.Version, Era: msg.Era})
		if msg.Version == o.version {
			o.storedRevision = msg.Revision
		}
	case ConflictMsg:
		o.writing = false
		if msg.Current.Era >= o.era {
			o.beginEra(msg.Current.Era, msg.Current)
		}
	case WriteFailedMsg:
		// The write may still take effect. The next one expects the same version, so only one of them can succeed.
		o.writing, failed = false, true
	}
	if o.Stored() {
		o.storedRevision, o.deferred = o.revision, false
		return nil
	}
	if o.writing || o.deferred || o.revision == 0 {
		return nil
	}
	o.writing = true
	return &WriteCmd{Row: Row{Part: o.partition, Key: o.key, Value: o.desired}, Expected: o.version, Revision: o.revision, Backoff: failed}
}

// beginEra records the row as the store holds it now, whatever was known before.
func (o *OwnedRow) beginEra(era uint64, row Row) {
	o.era, o.storedRevision = era, 0
	o.stored, o.version, o.exists = row.Value, row.Version, row.Version > 0
}

// observe records a row unless its version is not newer than the known one.
func (o *OwnedRow) observe(row Row) {
	if row.Era < o.era || row.Era == o.era && row.Version <= o.version {
		return
	}
	o.era, o.version, o.stored, o.exists, o.storedRevision = row.Era, row.Version, row.Value, !row.Deleted, 0
	if row.Deleted {
		o.version = 0
	}
}
