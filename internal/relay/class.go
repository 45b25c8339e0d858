package relay

import (
	"strconv"
	"strings"
)

const (
	classIdempotent = "idempotent"
	classCall       = "call"
	classForced     = "forced"
	classRepeat     = "repeat"
	classAdvanced   = "advanced"
	classRank       = "rank="
)

// Class is the information about a request that an agent needs before it admits it.
type Class struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Nested is set if a running request of another target waits for the response.
	Nested bool
	// Forced requests admission although the target is probably sick, because no other target has room.
	Forced bool
	// Retry is set if an earlier attempt has reached a target.
	Retry bool
	// HasProgress is set if the request that waits for this call's response has already had another call served, so
	// that more work would be lost with it.
	HasProgress bool
	// Rank orders waiting requests; 0 comes first.
	Rank int
}

// Parent is a request that runs at a target and makes calls.
type Parent struct {
	Rank int
	// Retry is set if the request is a retry, which makes its calls retries as well.
	Retry bool
	// HasProgress is set if one of its calls was served.
	HasProgress bool
	// Account is the client account that it belongs to, or "".
	Account string
}

// String formats the class for the header.
func (c Class) String() string {
	parts := make([]string, 0, 6)
	for _, flag := range []struct {
		set  bool
		name string
	}{{c.Idempotent, classIdempotent}, {c.Nested, classCall}, {c.Forced, classForced}, {c.Retry, classRepeat}, {c.HasProgress, classAdvanced}} {
		if flag.set {
			parts = append(parts, flag.name)
		}
	}
	return strings.Join(append(parts, classRank+strconv.Itoa(c.Rank)), ",")
}

// ParseClass parses a class; ok is false if it is malformed. Unknown words, as sent by later versions, are ignored.
func ParseClass(text string) (class Class, ok bool) {
	if text == "" {
		return Class{}, true
	}
	for part := range strings.SplitSeq(text, ",") {
		rank, isRank := strings.CutPrefix(part, classRank)
		switch {
		case part == classIdempotent:
			class.Idempotent = true
		case part == classCall:
			class.Nested = true
		case part == classForced:
			class.Forced = true
		case part == classRepeat:
			class.Retry = true
		case part == classAdvanced:
			class.HasProgress = true
		case isRank:
			n, err := strconv.Atoi(rank)
			if err != nil {
				return Class{}, false
			}
			class.Rank = n
		}
	}
	return class, true
}
