package model

// Severity ranks the reasons why a target is considered unhealthy.
type Severity uint8

// Severities in ascending order.
const (
	SeveritySlow Severity = iota + 1
	SeverityFailing
	SeverityStalled
	SeverityCrashed
)

// Claim is the verdict of an agent that one of its targets is unhealthy.
type Claim struct {
	Target   TargetRef `cbor:"1,keyasint" json:"target"`
	Severity Severity  `cbor:"2,keyasint" json:"severity"`
}

// PoisonEntry reports a request fingerprint that crashed targets of a service.
type PoisonEntry struct {
	Service     string `cbor:"1,keyasint" json:"service"`
	Fingerprint uint64 `cbor:"2,keyasint" json:"fingerprint"`
	Crashes     uint8  `cbor:"3,keyasint" json:"crashes"`
	Quarantined bool   `cbor:"4,keyasint" json:"quarantined"`
}

// String returns the name of the severity as used in logs and state dumps.
func (s Severity) String() string {
	switch s {
	case SeveritySlow:
		return "slow"
	case SeverityFailing:
		return "failing"
	case SeverityStalled:
		return "stalled"
	case SeverityCrashed:
		return "crashed"
	default:
		return "none"
	}
}

// MarshalText encodes the severity as its name.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}
