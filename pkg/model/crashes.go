package model

import "cmp"

// Crashes counts the targets that crashed one after another while they ran a request.
type Crashes struct {
	// Round is incremented each time a target answers the request after a crash, which restarts Count.
	Round uint32 `cbor:"1,keyasint,omitempty" json:"round"`
	// Count is the number of consecutive crashes; each run started after the crashes before it were known.
	Count uint32 `cbor:"2,keyasint,omitempty" json:"count"`
}

// CrashEntry holds the crash count of the request with the fingerprint.
type CrashEntry struct {
	Fingerprint uint64  `cbor:"1,keyasint" json:"fingerprint"`
	Crashes     Crashes `cbor:"2,keyasint" json:"crashes"`
}

// Compare orders two crash counts of one request by age; the newer one is greater.
func (c Crashes) Compare(other Crashes) int {
	return cmp.Or(cmp.Compare(c.Round, other.Round), cmp.Compare(c.Count, other.Count))
}
