package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	keyPrefix = "aw1."
	// maxKey is the maximum length of a key in bytes; it leaves room for a long node ID and a caller's UUID.
	maxKey = 512
	// attemptSeparator precedes each part that the owner appends for the agent; the key itself must not contain it.
	attemptSeparator = '~'
	attemptParts     = 3
)

// ErrKey is returned for malformed keys. A valid key is an owner token followed by a dot and a unique part of visible
// ASCII.
var ErrKey = eris.New("idempotency key is malformed; append `.` and a unique part of visible ASCII without `~` to an owner token")

// digest identifies a key within its epoch. It has 128 bits of SHA-256, which also resists deliberate collisions.
type digest [16]byte

// keyID is a parsed issued key, that is, one made from an owner token.
type keyID struct {
	Owner  model.NodeRef
	Epoch  uint64
	Digest digest
}

// attemptID is a parsed attempt: a key with the fingerprint of the request and the incarnation of the agent that may
// run it.
type attemptID struct {
	Key         keyID
	Fingerprint uint64
	Agent       uint64
}

// FormatToken returns the owner token of a node incarnation and epoch.
func FormatToken(owner model.NodeRef, epoch uint64) string {
	return keyPrefix + escape(owner.ID) + "." + strconv.FormatUint(owner.Incarnation, 10) + "." + strconv.FormatUint(epoch, 10)
}

// IsIssued reports whether the key starts with the prefix of owner tokens; all other keys are plain keys, chosen freely
// by callers.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, keyPrefix)
}

// Fingerprint hashes the parts of a request that must match in every request with the same key; body is the start of
// the request body.
func Fingerprint(account, service, method, path, query string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{account, service, method, path, query} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// plainRow returns the name of the table row of a plain key, which is also the unique part of its issued form.
func plainRow(account, key string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(account), account, key))
	return hex.EncodeToString(sum[:16])
}

func parseKey(key string) (keyID, error) {
	if len(key) > maxKey || !IsIssued(key) || !isVisibleASCII(key) || strings.IndexByte(key, attemptSeparator) >= 0 {
		return keyID{}, ErrKey
	}
	node, rest, _ := strings.Cut(key[len(keyPrefix):], ".")
	incarnation, rest, _ := strings.Cut(rest, ".")
	epoch, unique, _ := strings.Cut(rest, ".")
	id := keyID{}
	var ok [3]bool
	id.Owner.ID, ok[0] = unescape(node)
	id.Owner.Incarnation, ok[1] = parseNumber(incarnation)
	id.Epoch, ok[2] = parseNumber(epoch)
	if unique == "" || ok != [3]bool{true, true, true} {
		return keyID{}, ErrKey
	}
	id.Digest = digestOf(key)
	return id, nil
}

func formatAttempt(key string, fingerprint, agent uint64) string {
	b := make([]byte, 0, len(key)+40)
	b = append(b, key...)
	b = append(b, attemptSeparator)
	b = strconv.AppendUint(b, fingerprint, 16)
	b = append(b, attemptSeparator)
	b = strconv.AppendUint(b, agent, 16)
	return string(b)
}

func parseAttempt(attempt string) (attemptID, error) {
	key, rest, _ := strings.Cut(attempt, string(attemptSeparator))
	fingerprint, agent, _ := strings.Cut(rest, string(attemptSeparator))
	id := attemptID{}
	var err error
	if id.Key, err = parseKey(key); err != nil {
		return id, err
	}
	if id.Fingerprint, err = strconv.ParseUint(fingerprint, 16, 64); err != nil {
		return id, ErrKey
	}
	if id.Agent, err = strconv.ParseUint(agent, 16, 64); err != nil {
		return id, ErrKey
	}
	return id, nil
}

func digestOf(key string) digest {
	var buf [maxKey]byte
	n := copy(buf[:], key)
	sum := sha256.Sum256(buf[:n])
	return digest(sum[:16])
}

// parseNumber accepts only the canonical form, so that each owner and epoch is written in exactly one way.
func parseNumber(s string) (uint64, bool) {
	if s == "" || (len(s) > 1 && s[0] == '0') || s[0] == '+' {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// escape percent-encodes a node ID; dots are encoded because they separate the parts of a key.
func escape(id string) string {
	var b strings.Builder
	for i := range len(id) {
		if isUnreserved(id[i]) {
			b.WriteByte(id[i])
		} else {
			fmt.Fprintf(&b, "%%%02X", id[i])
		}
	}
	return b.String()
}

// unescape reverses escape and rejects non-canonical encodings.
func unescape(s string) (string, bool) {
	if s == "" {
		return "", false
	}
	if strings.IndexByte(s, '%') < 0 {
		return s, escape(s) == s
	}
	var b []byte
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b = append(b, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", false
		}
		c, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
		if err != nil {
			return "", false
		}
		b = append(b, byte(c))
		i += 2
	}
	return string(b), escape(string(b)) == s
}
