package model

import "cmp"

// Crashes tells how many targets died one after another while they ran a request.
type Crashes struct {
	// Round grows with each answer that a target gives to the request after a crash; the count then begins anew.
	Round uint32 `cbor:"1,keyasint,omitempty" json:"round"`
	// Count is the number of crashes in a row; each run began when the crashes before it were known.
	Count uint32 `cbor:"2,keyasint,omitempty" json:"count"`
}

// CrashEntry tells the crashes of the request with the fingerprint.
type CrashEntry struct {
	Fingerprint uint64  `cbor:"1,keyasint" json:"fingerprint"`
	Crashes     Crashes `cbor:"2,keyasint" json:"crashes"`
}

// Compare orders what is known of one request by age; the later knowledge is greater.
func (c Crashes) Compare(other Crashes) int {
	return cmp.Or(cmp.Compare(c.Round, other.Round), cmp.Compare(c.Count, other.Count))
}
