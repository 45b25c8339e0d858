package secret

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// fingerprintBytes is enough to distinguish the few secrets of a fleet.
const fingerprintBytes = 4

// Config configures NewSet.
type Config struct {
	// Secrets are accepted in addition to the node's own secret.
	Secrets [][]byte
	// Clock defaults to the system clock.
	Clock timer.Service
}

// Set holds accepted secrets and counts their use; it is safe for concurrent use, and a nil set is empty.
type Set struct {
	clock   timer.Service
	secrets [][]byte
	uses    []use
}

// use counts the messages that one secret authenticated.
type use struct {
	count atomic.Uint64
	// last is the time of the last use in Unix nanoseconds, or 0 if unused.
	last atomic.Int64
}

// Use reports how often other nodes used an accepted secret.
type Use struct {
	// Fingerprint identifies the secret without revealing it.
	Fingerprint string `json:"fingerprint"`
	Uses        uint64 `json:"uses"`
	// LastUsed is nil if the secret has not been used.
	LastUsed *time.Time `json:"last-used,omitempty"`
}

// NewSet returns a set of accepted secrets.
func NewSet(c Config) *Set {
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	return &Set{clock: c.Clock, secrets: c.Secrets, uses: make([]use, len(c.Secrets))}
}

// Fingerprint returns a short digest that identifies the secret without revealing it.
func Fingerprint(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("fingerprint"))
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}

// Secrets returns the accepted secrets in the order of the settings; they must not be modified.
func (s *Set) Secrets() [][]byte {
	if s == nil {
		return nil
	}
	return s.secrets
}

// Match returns the index of the first secret that check accepts and records its use.
func (s *Set) Match(check func(index int) bool) (index int, ok bool) {
	for i := range s.Secrets() {
		if check(i) {
			s.uses[i].count.Add(1)
			s.uses[i].last.Store(s.clock.Now().UnixNano())
			return i, true
		}
	}
	return 0, false
}

// Uses returns the number of messages authenticated with secrets of the set.
func (s *Set) Uses() uint64 {
	total := uint64(0)
	if s == nil {
		return total
	}
	for i := range s.uses {
		total += s.uses[i].count.Load()
	}
	return total
}

// State returns the use of each secret, for the state dump.
func (s *Set) State() []Use {
	state := []Use{}
	for i, secret := range s.Secrets() {
		item := Use{Fingerprint: Fingerprint(secret), Uses: s.uses[i].count.Load()}
		if last := s.uses[i].last.Load(); last != 0 {
			at := time.Unix(0, last).UTC()
			item.LastUsed = &at
		}
		state = append(state, item)
	}
	return state
}
