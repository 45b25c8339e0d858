package model

// Headers between callers and the fleet.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Auburnwinch-Outcome"
	HeaderOwner          = "Auburnwinch-Owner"
	HeaderAccount        = "Auburnwinch-Account"
	HeaderTimeout        = "Auburnwinch-Timeout"
)

// Headers between nodes of the fleet.
const (
	HeaderExchange  = "Auburnwinch-Exchange"
	HeaderTarget    = "Auburnwinch-Target"
	HeaderKey       = "Auburnwinch-Key"
	HeaderLoad      = "Auburnwinch-Load"
	HeaderLength    = "Auburnwinch-Length"
	HeaderChecksum  = "Auburnwinch-Checksum"
	HeaderReason    = "Auburnwinch-Reason"
	HeaderSignature = "Auburnwinch-Signature"
)

// Paths of the callers' listener that the fleet serves itself.
const (
	PathOwner = "/.well-known/auburnwinch/owner"
	PathKeys  = "/.well-known/auburnwinch/keys/"
)
