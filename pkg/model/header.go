package model

// Headers exchanged between callers and the fleet.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Auburnwinch-Outcome"
	HeaderOwner          = "Auburnwinch-Owner"
	HeaderAccount        = "Auburnwinch-Account"
	HeaderTimeout        = "Auburnwinch-Timeout"
)

// Headers exchanged between nodes of the fleet.
const (
	HeaderExchange  = "Auburnwinch-Exchange"
	HeaderTarget    = "Auburnwinch-Target"
	HeaderKey       = "Auburnwinch-Key"
	HeaderLoad      = "Auburnwinch-Load"
	HeaderLength    = "Auburnwinch-Length"
	HeaderChecksum  = "Auburnwinch-Checksum"
	HeaderReason    = "Auburnwinch-Reason"
	HeaderSignature = "Auburnwinch-Signature"
	// HeaderRoute names the route, from which the agent derives the class and idempotency of the request.
	HeaderRoute = "Auburnwinch-Route"
	// HeaderFingerprint is the hexadecimal fingerprint of the request, used to detect poison requests.
	HeaderFingerprint = "Auburnwinch-Fingerprint"
	// HeaderCrashes is the number of target crashes that the sender attributes to the request, see relay.FormatCrashes.
	HeaderCrashes = "Auburnwinch-Crashes"
	// HeaderClass is what the agent needs to know about the request to decide on its admission, see relay.Class.
	HeaderClass = "Auburnwinch-Class"
	// HeaderParentAccount is the client account of the request that waits for a nested call.
	HeaderParentAccount = "Auburnwinch-Parent-Account"
	// HeaderPatience is how long the request may wait for a slot, as a Go duration.
	HeaderPatience = "Auburnwinch-Patience"
	// HeaderObjective is the time after which the answer has lost most of its value, as a Go duration.
	HeaderObjective = "Auburnwinch-Objective"
	// HeaderConfiguration is the number of the configuration in force at the sender.
	HeaderConfiguration = "Auburnwinch-Configuration"
	// HeaderChance is the share of its latest requests that a target served, sent when a request is refused because the
	// target is sick.
	HeaderChance = "Auburnwinch-Chance"
	// HeaderRateLimit is the number of requests per second that the target accepts, as a decimal number. Agents send it
	// with each response while the target states a limit, and edges send what they know with a request.
	HeaderRateLimit = "Auburnwinch-Rate-Limit"
	// HeaderTargetLeaving is sent with each response of a target that has stated that it shuts down.
	HeaderTargetLeaving = "Auburnwinch-Target-Leaving"
	// HeaderFrames is sent by edges that accept response bodies in frames, and by agents whose response body is framed.
	HeaderFrames = "Auburnwinch-Frames"
	// HeaderWait is how long a refused request would have had to wait, as a Go duration.
	HeaderWait = "Auburnwinch-Wait"
)

// Paths on the callers' listener that the fleet serves itself.
const (
	PathOwner = "/.well-known/auburnwinch/owner"
	PathKeys  = "/.well-known/auburnwinch/keys/"
)
