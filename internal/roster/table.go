package roster

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Row is one row of a table.
type Row struct {
	Part  string
	Key   string
	Value []byte
	// Version increases with each change of any row of an era; 0 means that the row does not exist.
	Version uint64
	Deleted bool
	// Era is the era of the store from which the row was read.
	Era uint64
	// Forgotten is true for a row of an earlier era that the store does not hold any more, or holds in an older state.
	Forgotten bool
}

// Page is a set of rows at one version of the table.
type Page struct {
	Rows    []Row
	Version uint64
	// Whole is true when Rows holds all rows of the table.
	Whole bool
	// AsOf is a time up to which the page holds all changes, by the clock of this node; it is zero if that is unknown.
	AsOf time.Time
	// Era counts how often the store came back from a copy. It then lacks what was written last before, and gives out the
	// versions of that again. A store that does not tell has the era 0.
	Era uint64
}

// Table is a table of rows in a shared store.
type Table interface {
	// Read returns all rows; changes after Page.Version may be missing.
	Read(ctx context.Context) (Page, error)
	// Watch waits for rows that changed after the version. The page is empty when none changed within the wait. It fails
	// with ErrHistoryLost when the store no longer has these changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Write stores the row if its version is still the expected one, and returns the new version. It fails with
	// *ConflictError otherwise. After any other error the write may still take effect.
	Write(ctx context.Context, row Row, expected uint64) (uint64, error)
}

// ErrStaleEra reports an answer of the store as it was before it came back from a copy.
var ErrStaleEra = eris.New("the answer is of an earlier era of the store; call again")

// ErrHistoryLost reports that the store has dropped the changes since a version.
var ErrHistoryLost = eris.New("the store no longer has the changes since that version; read the whole table")

// ConflictError reports that the version of a row differs from the expected one.
type ConflictError struct {
	// Current is the stored row; its version is 0 when the row does not exist.
	Current Row
}

func (e *ConflictError) Error() string {
	return "row " + e.Current.Key + " has changed; write again with its current version"
}

// Supersedes reports whether the record in the row was written after that in the other one, whatever eras they were read in.
// A row that is not a record counts as written in era 0.
func (r Row) Supersedes(other Row) bool {
	era, otherEra := writtenEra(r), writtenEra(other)
	if era != otherEra {
		return era > otherEra
	}
	return r.Version > other.Version
}

// Covers reports whether nothing of the earlier record is needed any more: the same process of the node wrote this one later,
// or another process that knows of all departures in it.
func (r Row) Covers(earlier Row) bool {
	if earlier.Supersedes(r) {
		return false
	}
	before, err := DecodeRecord(earlier)
	if err != nil {
		return true
	}
	now, err := DecodeRecord(r)
	if err != nil || now.Node.Ref.Incarnation == before.Node.Ref.Incarnation {
		return err == nil
	}
	known := append(now.Draining(), now.Withdrawn...)
	departed := append(before.Draining(), before.Withdrawn...)
	return !slices.ContainsFunc(departed, func(ref model.TargetRef) bool { return !slices.Contains(known, ref) })
}

func writtenEra(r Row) uint64 {
	record, err := DecodeRecord(r)
	if err != nil {
		return 0
	}
	return record.Era
}
