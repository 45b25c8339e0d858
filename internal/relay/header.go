package relay

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ownHeaders are the headers that the fleet sets itself; they never pass from one side to the other.
var ownHeaders = map[string]struct{}{
	model.HeaderOutcome: {}, model.HeaderOwner: {}, model.HeaderAccount: {}, model.HeaderTimeout: {},
	model.HeaderExchange: {}, model.HeaderTarget: {}, model.HeaderKey: {}, model.HeaderLoad: {},
	model.HeaderLength: {}, model.HeaderChecksum: {}, model.HeaderReason: {}, model.HeaderSignature: {},
	model.HeaderRoute: {}, model.HeaderFingerprint: {}, model.HeaderClass: {}, model.HeaderPatience: {},
	model.HeaderWait: {}, model.HeaderChance: {}, model.HeaderCrashes: {},
	model.HeaderConfiguration: {}, model.HeaderObjective: {},
}

// Reasons of an agent that refuses a request; each is a certain not-run unless it says otherwise.
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
	// ReasonResumed tells that the agent was paused and may hold requests that were given up.
	ReasonResumed = "agent-resumed"
	ReasonPoison  = "poison"
	ReasonSuspect = "another-suspect-request-runs"
	// ReasonKeySeen tells that an earlier attempt with this key has reached a target.
	ReasonKeySeen = "key-seen"
	// ReasonBroken tells that the target broke off before it answered, so that the request may have run.
	ReasonBroken = "target-broken"
	// ReasonCrashed tells that the target broke off and refuses connections, so that the request is suspect.
	ReasonCrashed = "target-crashed"
	// ReasonUnhealthy tells that the target is probably sick and rests.
	ReasonUnhealthy = "target-sick"
	// ReasonBudget tells that the target has taken as many repeats as it may.
	ReasonBudget = "retry-budget"
	// ReasonShed tells that the target itself refused the request, which reached it.
	ReasonShed = "target-shed"
	// ReasonUnconfirmed tells that the edge did not send the body after it was admitted.
	ReasonUnconfirmed = "unconfirmed"
	// ReasonTimeout tells that the time ran out while the target worked.
	ReasonTimeout = "timeout"
)

// CopyHeader adds the end-to-end headers of src to dst: neither those of one hop nor those of the fleet.
func CopyHeader(dst, src http.Header) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || isOwn(name) || listed(connection, name) {
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

// writeHeader writes the end-to-end headers of src, which was read by net/http and so holds no line breaks, and the
// fields. It spares the copy and the sorting of a header that is written only once.
func writeHeader(w *bufio.Writer, src http.Header, omit []string, fields []Field) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || isOwn(name) || listed(connection, name) || slices.Contains(omit, name) {
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

// FormatTarget writes a target reference as it stands in the header.
func FormatTarget(ref model.TargetRef) string {
	return ref.Service + "/" + ref.ID + "/" + strconv.FormatUint(ref.Incarnation, 10)
}

// ParseTarget reads a target reference from the header; ok is false when it is malformed.
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

// String writes the load as `in-flight/limit`.
func (l Load) String() string {
	return strconv.Itoa(l.InFlight) + "/" + strconv.Itoa(l.Limit)
}

// ParseLoad reads `in-flight/limit`; ok is false when it is malformed.
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

func isOwn(name string) bool {
	_, own := ownHeaders[name]
	return own
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

func listed(connection []string, name string) bool {
	for _, value := range connection {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
