package relay

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"

	"github.com/auburnwinch/auburnwinch/internal/secret"
)

const nonceBytes = 16

// Signer signs relayed requests with the fleet secret; the zero value signs nothing and accepts everything.
type Signer struct {
	secret []byte
	hashes sync.Pool
	// accepted holds a signer for each accepted secret, in the same order.
	accepted    []*Signer
	acceptedSet *secret.Set
}

// signScratch holds the reusable buffers for one signature.
type signScratch struct {
	mac    hash.Hash
	text   []byte
	sum    [sha256.Size]byte
	digits [2 * sha256.Size]byte
}

// SignedFields holds the parts of a relayed request that the signature covers.
type SignedFields struct {
	Exchange string
	Method   string
	URI      string
	Target   string
	Key      string
}

// NewSigner returns a signer that signs with its own secret and also accepts signatures made with the accepted ones; an
// empty own secret signs nothing.
func NewSigner(own []byte, accepted *secret.Set) *Signer {
	s := &Signer{secret: own, acceptedSet: accepted}
	for _, other := range accepted.Secrets() {
		s.accepted = append(s.accepted, &Signer{secret: other})
	}
	return s
}

// NewExchange returns a random nonce.
func NewExchange() string {
	var raw [nonceBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Sign returns the signature, or the empty string without a secret.
func (s *Signer) Sign(parts SignedFields) string {
	if len(s.secret) == 0 {
		return ""
	}
	scratch, ok := s.hashes.Get().(*signScratch)
	if !ok {
		scratch = &signScratch{mac: hmac.New(sha256.New, s.secret)}
	}
	defer s.hashes.Put(scratch)
	text := scratch.text[:0]
	for _, part := range [...]string{parts.Exchange, parts.Method, parts.URI, parts.Target, parts.Key} {
		text = append(append(text, part...), 0)
	}
	scratch.text = text
	scratch.mac.Reset()
	_, _ = scratch.mac.Write(text)
	hex.Encode(scratch.digits[:], scratch.mac.Sum(scratch.sum[:0]))
	return string(scratch.digits[:])
}

// Verify fails with ErrSignature unless the signature matches the parts.
func (s *Signer) Verify(parts SignedFields, signature string) error {
	if len(s.secret) == 0 || hmac.Equal([]byte(s.Sign(parts)), []byte(signature)) {
		return nil
	}
	_, ok := s.acceptedSet.Match(func(i int) bool {
		return hmac.Equal([]byte(s.accepted[i].Sign(parts)), []byte(signature))
	})
	if !ok {
		return ErrSignature
	}
	return nil
}
