package relay

import (
	"strconv"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// FormatCrashes formats round and count, separated by a slash, for the header.
func FormatCrashes(c model.Crashes) string {
	return strconv.FormatUint(uint64(c.Round), 10) + "/" + strconv.FormatUint(uint64(c.Count), 10)
}

// ParseCrashes parses the output of FormatCrashes; ok is false if it is malformed.
func ParseCrashes(text string) (c model.Crashes, ok bool) {
	round, count, _ := strings.Cut(text, "/")
	r, roundErr := strconv.ParseUint(round, 10, 32)
	n, countErr := strconv.ParseUint(count, 10, 32)
	return model.Crashes{Round: uint32(r), Count: uint32(n)}, roundErr == nil && countErr == nil
}
