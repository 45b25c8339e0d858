package roster

import "bytes"

// Own decides the writes of one row that a single process owns. It is not safe for concurrent use.
type Own struct {
	part, key string
	wanted    []byte
	wants     bool
	stored    []byte
	holds     bool
	version   uint64
	writing   bool
}

// OwnMsg is an input of the module.
type OwnMsg interface{ own() }

// WantMsg gives the value that the row is to have.
type WantMsg struct{ Value []byte }

// SeenMsg tells the row as a watch has shown it.
type SeenMsg struct{ Row Row }

// WrittenMsg tells that the write took effect.
type WrittenMsg struct {
	Value   []byte
	Version uint64
}

// ConflictMsg tells that the row has another version.
type ConflictMsg struct{ Current Row }

// FailedMsg tells that the outcome of the write is unknown or that it was refused.
type FailedMsg struct{}

func (WantMsg) own()     {}
func (SeenMsg) own()     {}
func (WrittenMsg) own()  {}
func (ConflictMsg) own() {}
func (FailedMsg) own()   {}

// WriteCmd asks for a conditional write; After tells that the last one failed, so that it should wait.
type WriteCmd struct {
	Row      Row
	Expected uint64
	After    bool
}

// NewOwn returns a module that knows nothing of its row.
func NewOwn(part, key string) *Own {
	return &Own{part: part, key: key}
}

// Stored reports whether the row holds the wanted value.
func (o *Own) Stored() bool {
	return o.wants && o.holds && bytes.Equal(o.stored, o.wanted)
}

// Update applies one message and returns the write that is due, or nil. At most one write is under way.
func (o *Own) Update(msg OwnMsg) *WriteCmd {
	failed := false
	switch msg := msg.(type) {
	case WantMsg:
		o.wanted, o.wants = msg.Value, true
	case SeenMsg:
		o.see(msg.Row)
	case WrittenMsg:
		o.writing = false
		o.see(Row{Value: msg.Value, Version: msg.Version})
	case ConflictMsg:
		o.writing = false
		o.stored, o.version, o.holds = msg.Current.Value, msg.Current.Version, msg.Current.Version > 0
	case FailedMsg:
		// The write may take effect later. The next one has the same condition, so that only one of them does.
		o.writing, failed = false, true
	}
	if o.writing || !o.wants || o.Stored() {
		return nil
	}
	o.writing = true
	return &WriteCmd{Row: Row{Part: o.part, Key: o.key, Value: o.wanted}, Expected: o.version, After: failed}
}

// see takes a row unless it is older than what is known.
func (o *Own) see(row Row) {
	if row.Version <= o.version {
		return
	}
	o.version, o.stored, o.holds = row.Version, row.Value, !row.Deleted
	if row.Deleted {
		o.version = 0
	}
}
