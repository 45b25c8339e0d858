package relay

import (
	"math"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// leavingValue is the value of model.HeaderTargetLeaving.
const leavingValue = "1"

// errRate is returned for a rate that is no decimal number of zero or more.
var errRate = eris.New("the rate limit is no decimal number of zero or more; correct it at the target")

// Notice is what a target states about itself in its responses.
type Notice struct {
	// RateLimit is the number of requests per second that the target accepts from all edges together; it counts only if
	// Limited is set.
	RateLimit float64 `json:"rate-limit"`
	Limited   bool    `json:"limited"`
	// Leaving is set if the target shuts down and must get no new requests.
	Leaving bool `json:"leaving"`
}

// ParseRate parses a rate limit in requests per second; it fails unless the text is a decimal number of zero or more.
func ParseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, eris.Wrapf(errRate, "%q", text)
	}
	return rate, nil
}

// FormatRate formats a rate limit for the header.
func FormatRate(rate float64) string {
	return strconv.FormatFloat(rate, 'f', -1, 64)
}

// Set adds the notice to the headers between nodes; a notice that states nothing adds none.
func (n Notice) Set(h http.Header) {
	if n.Limited {
		h[model.HeaderRateLimit] = []string{FormatRate(n.RateLimit)}
	}
	if n.Leaving {
		h[model.HeaderTargetLeaving] = []string{leavingValue}
	}
}

// ParseNotice returns the notice in the headers between nodes; a malformed limit counts as absent.
func ParseNotice(h http.Header) Notice {
	n := Notice{Leaving: h.Get(model.HeaderTargetLeaving) == leavingValue}
	if text := h.Get(model.HeaderRateLimit); text != "" {
		rate, err := ParseRate(text)
		n.RateLimit, n.Limited = rate, err == nil
	}
	return n
}
