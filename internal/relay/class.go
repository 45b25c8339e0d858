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

// Class is what an agent needs to know of a request before it admits it.
type Class struct {
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Nested tells that a running request of another target waits for the answer.
	Nested bool
	// Forced asks for admission although the target is probably sick, because no other target has room.
	Forced bool
	// Retry tells that an earlier attempt has reached a target.
	Retry bool
	// HasProgress tells that the request which waits for the answer of this call has had another call served, so that more work
	// is lost with it.
	HasProgress bool
	// Rank orders waiting requests; 0 comes first.
	Rank int
}

// Parent is a request that runs at a target and makes calls.
type Parent struct {
	Rank int
	// Retry tells that it runs as a repeat, which makes its calls repeats as well.
	Retry bool
	// HasProgress tells that one of its calls was served.
	HasProgress bool
}

// String writes the class as it stands in the header.
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

// ParseClass reads a class; ok is false when it is malformed. Words of later versions are passed over.
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
