package relay

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// internalHeaders are the headers that the fleet sets itself; they are never forwarded from one side to the other.
var internalHeaders = map[string]struct{}{
	model.HeaderOutcome: {}, model.HeaderOwner: {}, model.HeaderAccount: {}, model.HeaderTimeout: {},
	model.HeaderExchange: {}, model.HeaderTarget: {}, model.HeaderKey: {}, model.HeaderLoad: {},
	model.HeaderLength: {}, model.HeaderChecksum: {}, model.HeaderReason: {}, model.HeaderSignature: {},
	model.HeaderRoute: {}, model.HeaderFingerprint: {}, model.HeaderClass: {}, model.HeaderPatience: {},
	model.HeaderWait: {}, model.HeaderChance: {}, model.HeaderCrashes: {},
	model.HeaderConfiguration: {}, model.HeaderObjective: {}, model.HeaderRateLimit: {}, model.HeaderTargetLeaving: {},
	model.HeaderFrames: {}, model.HeaderParentAccount: {},
}

// Reasons for which an agent refuses a request; the request certainly did not run unless the reason says otherwise.
const (
	ReasonUnknownTarget = "unknown-target"
	ReasonDraining      = "draining"
	ReasonLeaving       = "node-leaving"
	ReasonNoSlot        = "no-slot"
	ReasonAccountShare  = "account-share"
	ReasonDeadline      = "deadline"
	ReasonSignature     = "signature"
	ReasonBadRequest    = "bad-request"
	ReasonUnreachable   = "target-unreachable"
	// ReasonResumed means that the agent was paused and may hold requests that were given up.
	ReasonResumed = "agent-resumed"
	ReasonPoison  = "poison"
	ReasonSuspect = "another-suspect-request-runs"
	// ReasonKeySeen means that an earlier attempt with this key has reached a target.
	ReasonKeySeen = "key-seen"
	// ReasonBroken means that the target closed the connection before it responded, so that the request may have run.
	ReasonBroken = "target-broken"
	// ReasonCrashed means that the target closed the connection and refuses new ones, so that the request is suspect.
	ReasonCrashed = "target-crashed"
	// ReasonUnhealthy means that the target is probably sick and receives no requests for a while.
	ReasonUnhealthy = "target-sick"
	// ReasonBudget means that the target has received as many retries as it may.
	ReasonBudget = "retry-budget"
	// ReasonRateLimit means that the target would get more requests than the rate limit that it states.
	ReasonRateLimit = "rate-limit"
	// ReasonShed means that the target itself refused the request, which reached it.
	ReasonShed = "target-shed"
	// ReasonUnconfirmed means that the edge did not send the body after the request was admitted.
	ReasonUnconfirmed = "unconfirmed"
	// ReasonTimeout means that the time ran out while the target processed the request.
	ReasonTimeout = "timeout"
)

// CopyHeader adds the end-to-end headers of src to dst: neither hop-by-hop headers nor those of the fleet.
func CopyHeader(dst, src http.Header) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || isInternal(name) || connectionOption(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// Field is a header that the fleet adds to a request.
type Field struct {
	Name  string
	Value string
}

// writeHeader writes the fields and the end-to-end headers of src, which was read by net/http and so contains no line
// breaks. Direct writing avoids copying and sorting a header that is written only once.
func writeHeader(w *bufio.Writer, src http.Header, omit []string, fields []Field) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || isInternal(name) || connectionOption(connection, name) || slices.Contains(omit, name) {
			continue
		}
		for _, value := range values {
			writeField(w, name, value)
		}
	}
	for _, f := range fields {
		writeField(w, f.Name, f.Value)
	}
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// FormatTarget formats a target reference for the header.
func FormatTarget(ref model.TargetRef) string {
	return ref.Service + "/" + ref.ID + "/" + strconv.FormatUint(ref.Incarnation, 10)
}

// ParseTarget parses a target reference from the header; ok is false if it is malformed.
func ParseTarget(text string) (ref model.TargetRef, ok bool) {
	service, rest, found := strings.Cut(text, "/")
	if !found {
		return ref, false
	}
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return ref, false
	}
	incarnation, err := strconv.ParseUint(rest[i+1:], 10, 64)
	if err != nil || service == "" || i == 0 {
		return ref, false
	}
	return model.TargetRef{Service: service, ID: rest[:i], Incarnation: incarnation}, true
}

// Load is the load that an agent reports for a target.
type Load struct {
	InFlight int `json:"in-flight"`
	Limit    int `json:"limit"`
}

// String formats the load as `in-flight/limit`.
func (l Load) String() string {
	return strconv.Itoa(l.InFlight) + "/" + strconv.Itoa(l.Limit)
}

// ParseLoad parses `in-flight/limit`; ok is false if it is malformed.
func ParseLoad(text string) (load Load, ok bool) {
	inFlight, limit, found := strings.Cut(text, "/")
	if !found {
		return Load{}, false
	}
	var err1, err2 error
	load.InFlight, err1 = strconv.Atoi(inFlight)
	load.Limit, err2 = strconv.Atoi(limit)
	return load, err1 == nil && err2 == nil
}

func isInternal(name string) bool {
	_, internal := internalHeaders[name]
	return internal
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
		"Proxy-Authenticate", "Proxy-Authorization", "Expect", "Content-Length", "Host":
		return true
	default:
		return false
	}
}

func connectionOption(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
