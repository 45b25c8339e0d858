package roster

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Row is one row of a table.
type Row struct {
	Part  string
	Key   string
	Value []byte
	// Version grows with each change of any row; 0 means that the row does not exist.
	Version uint64
	Deleted bool
}

// Page is a set of rows as of a version.
type Page struct {
	Rows    []Row
	Version uint64
	// Whole tells that these are all rows of the table.
	Whole bool
}

// Table is a table of rows in a shared store.
type Table interface {
	// Read returns all rows; changes after Page.Version may be missing.
	Read(ctx context.Context) (Page, error)
	// Watch waits for rows that changed after the version; the page is empty when none did within the wait. It fails with
	// ErrHistory when the store no longer knows these changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Write stores the row if it still has the expected version, and returns its new one. It fails with *ConflictError
	// otherwise; after any other error the write may still take effect.
	Write(ctx context.Context, row Row, expected uint64) (uint64, error)
}

// ErrHistoryLost means that the store has dropped the changes since a version.
var ErrHistoryLost = eris.New("the store no longer knows the changes since that version; read the table anew")

// ConflictError reports that a row has another version than expected.
type ConflictError struct {
	// Current is the row as it is; its version is 0 when it does not exist.
	Current Row
}

// Error names the row and the remedy.
func (e *ConflictError) Error() string {
	return "row " + e.Current.Key + " has changed; write again with its current version"
}
