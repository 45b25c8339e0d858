package model

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a key; keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// ClientAccount is a client account with the keys by which its requests are identified.
type ClientAccount struct {
	Name string
	Keys []KeyDigest
	// Rank replaces the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	Quota   Quota
}

// Quota bounds the requests of a client account over the whole fleet.
type Quota struct {
	// Rate is in requests per second; zero means no bound.
	Rate float64
	// Burst is the number of requests that may come at once.
	Burst float64
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}
