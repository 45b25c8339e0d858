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
	// HeaderRoute names the route, from which the agent takes class and idempotency of the request.
	HeaderRoute = "Auburnwinch-Route"
	// HeaderFingerprint holds the fingerprint of the request in hexadecimal, for the detection of poison requests.
	HeaderFingerprint = "Auburnwinch-Fingerprint"
	// HeaderCrashes is what the sender knows of crashes of targets that ran the request, see relay.FormatCrashes.
	HeaderCrashes = "Auburnwinch-Crashes"
	// HeaderClass holds what the agent needs to know of the request before it admits it, see relay.Class.
	HeaderClass = "Auburnwinch-Class"
	// HeaderPatience is the Go duration that the request may wait for a slot.
	HeaderPatience = "Auburnwinch-Patience"
	// HeaderObjective is the Go duration after which the answer has lost most of its value.
	HeaderObjective = "Auburnwinch-Objective"
	// HeaderConfiguration is the number of the configuration that the sender has in force.
	HeaderConfiguration = "Auburnwinch-Configuration"
	// HeaderChance is the share of its latest requests that a target served, when it is refused as sick.
	HeaderChance = "Auburnwinch-Chance"
	// HeaderWait is the Go duration that a refused request would have to wait.
	HeaderWait = "Auburnwinch-Wait"
)

// Paths of the callers' listener that the fleet serves itself.
const (
	PathOwner = "/.well-known/auburnwinch/owner"
	PathKeys  = "/.well-known/auburnwinch/keys/"
)
