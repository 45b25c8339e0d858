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
	// Version increases with each change of any row; 0 means that the row does not exist.
	Version uint64
	Deleted bool
}

// Page is a set of rows at one version of the table.
type Page struct {
	Rows    []Row
	Version uint64
	// Whole is true when Rows holds all rows of the table.
	Whole bool
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
