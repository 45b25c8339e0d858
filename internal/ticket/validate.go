package ticket

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Limits of a ticket; they leave room above the design size of 170 services and 2,500 routes.
const (
	MaxServices = 1024
	MaxRoutes   = 8192
	MaxSlots    = 1 << 20
	maxText     = 512
	maxTimeout  = time.Hour
	maxWait     = time.Minute
	maxAttempts = 10
	maxRank     = 1000
)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Validate reports all errors of a ticket that can be detected without the configuration, as strict.Problems.
func Validate(t model.Ticket) error {
	return check(t).Err()
}

// ValidateAgainst reports the errors of a ticket that is to follow the configuration, as strict.Problems.
func ValidateAgainst(c *model.Configuration, t model.Ticket) error {
	p := check(t)
	if t.Number != c.Number+1 {
		p.Add("number", fmt.Sprintf("review ticket %d with `auburnwinch ticket show %d` and file as number %d", c.Number, c.Number, c.Number+1),
			"the last accepted ticket is %d", c.Number)
	}
	for i, name := range t.Remove {
		if !slices.ContainsFunc(c.Services, func(s model.ServiceSpec) bool { return s.Name == name }) {
			p.Add(fmt.Sprintf("remove[%d]", i), "remove the entry", "no service %q is configured", name)
		}
	}
	if len(p) == 0 {
		checkAgainst(&p, Apply(c, t), t)
	}
	return p.Err()
}

func check(t model.Ticket) strict.Problems {
	var p strict.Problems
	if t.Number == 0 {
		p.Add("number", "use the number of the last accepted ticket plus one", "the number is missing or 0")
	}
	checkText(&p, "author", t.Author, true)
	checkText(&p, "summary", t.Summary, false)
	if len(t.Services) == 0 && len(t.Remove) == 0 {
		p.Add("services", "list the services to change or to remove", "the ticket changes nothing")
	}
	if len(t.Services) > MaxServices {
		p.Add("services", "split the ticket", "%d services are more than %d", len(t.Services), MaxServices)
	}
	names := make(map[string]bool)
	for i, spec := range t.Services {
		field := fmt.Sprintf("services[%d]", i)
		checkName(&p, field+".name", spec.Name, names)
		checkService(&p, field, spec)
	}
	for i, name := range t.Remove {
		checkName(&p, fmt.Sprintf("remove[%d]", i), name, names)
	}
	checkRoutes(&p, t.Services)
	return p
}

func checkText(p *strict.Problems, field, text string, required bool) {
	if required && strings.TrimSpace(text) == "" {
		p.Add(field, "name the person who answers for the change", "the field is missing")
	}
	if len(text) > maxText {
		p.Add(field, "shorten it", "%d bytes are more than %d", len(text), maxText)
	}
}

func checkName(p *strict.Problems, field, name string, taken map[string]bool) {
	if !model.ValidName(name) {
		p.Add(field, "use "+model.NameRule, "impossible name %q", name)
		return
	}
	if taken[name] {
		p.Add(field, "name each service once, to change or to remove it", "service %q is named twice", name)
	}
	taken[name] = true
}

func checkService(p *strict.Problems, field string, s model.ServiceSpec) {
	if s.FloorSlots < 1 || s.FloorSlots > MaxSlots {
		p.Add(field+".floor-slots", "set the slots that must stay in service, at least 1", "impossible value %d", s.FloorSlots)
	}
	if s.Profile != "" && s.Profile != model.ProfileCapacity && s.Profile != model.ProfileDetection {
		p.Add(field+".profile", "use capacity or detection", "unknown profile %q", s.Profile)
	}
	if !(s.AccountShare >= 0 && s.AccountShare <= 1) {
		p.Add(field+".account-share", "use a share from 0 to 1; 0 means no limit", "impossible value %v", s.AccountShare)
	}
	checkQueue(p, field+".queue", s.Queue)
	checkEjection(p, field+".ejection", s.Ejection)
	if len(s.Routes) == 0 {
		p.Add(field+".routes", "add a route, or remove the service", "the service has no route")
	}
	for i, route := range s.Routes {
		checkRoute(p, fmt.Sprintf("%s.routes[%d]", field, i), route)
	}
}

func checkQueue(p *strict.Problems, field string, q model.QueueSpec) {
	if q.Places < 0 || q.Places > MaxSlots {
		p.Add(field+".places", "use at most as many places as a target has slots", "impossible value %d", q.Places)
	}
	if q.Wait < 0 || q.Wait > model.Duration(maxWait) {
		p.Add(field+".wait", "use 0s to 1m", "impossible value %s", q.Wait)
	}
	if (q.Places == 0) != (q.Wait == 0) {
		p.Add(field, "set both places and wait, or neither", "only one of places and wait is set")
	}
}

func checkEjection(p *strict.Problems, field string, e model.EjectionSpec) {
	if e.StallAfter < 0 || e.StallAfter > model.Duration(maxTimeout) {
		p.Add(field+".stall-after", "use a duration from 0s to 1h", "impossible value %s", e.StallAfter)
	}
	if e.ConsecutiveErrors < 0 {
		p.Add(field+".consecutive-errors", "use a count of at least 1, or leave it out", "impossible value %d", e.ConsecutiveErrors)
	}
	if !(e.ErrorRatio >= 0 && e.ErrorRatio <= 1) {
		p.Add(field+".error-ratio", "use a ratio from 0 to 1", "impossible value %v", e.ErrorRatio)
	}
	if e.SlowFactor != 0 && !(e.SlowFactor > 1 && e.SlowFactor <= 1000) {
		p.Add(field+".slow-factor", "use a factor above 1 and at most 1000", "impossible value %v", e.SlowFactor)
	}
	if e.MinSamples < 0 {
		p.Add(field+".min-samples", "use a count of at least 1, or leave it out", "impossible value %d", e.MinSamples)
	}
}

func checkRoute(p *strict.Problems, field string, r model.RouteSpec) {
	if !model.ValidName(r.Name) {
		p.Add(field+".name", "use "+model.NameRule, "impossible name %q", r.Name)
	}
	checkHost(p, field+".host", r.Host)
	checkPrefix(p, field+".path-prefix", r.PathPrefix)
	for i, method := range r.Methods {
		methodField := fmt.Sprintf("%s.methods[%d]", field, i)
		if !slices.Contains(knownMethods, method) {
			p.Add(methodField, "use "+strings.Join(knownMethods, ", "), "unknown method %q", method)
		}
		if slices.Contains(r.Methods[:i], method) {
			p.Add(methodField, "list each method once", "method %s is listed twice", method)
		}
	}
	if r.Timeout < 0 || r.Timeout > model.Duration(maxTimeout) {
		p.Add(field+".timeout", "use a duration above 0s and at most 1h, or leave it out for the default", "impossible value %s", r.Timeout)
	}
	if r.Resumable && !r.Idempotent {
		p.Add(field+".resumable", "set idempotent as well, or remove resumable", "only idempotent routes can be resumed")
	}
	checkLimits(p, field, r)
	if r.RequireKey && r.Idempotent {
		p.Add(field+".require-key", "remove one of the two", "idempotent routes need no key")
	}
}

func checkLimits(p *strict.Problems, field string, r model.RouteSpec) {
	if r.MaxAttempts < 0 || r.MaxAttempts > maxAttempts {
		p.Add(field+".max-attempts", "use 1 to 10, or leave it out for the default", "impossible value %d", r.MaxAttempts)
	}
	if r.Objective < 0 || r.Objective > model.Duration(maxTimeout) {
		p.Add(field+".objective", "use a duration above 0s and at most 1h, or leave it out", "impossible value %s", r.Objective)
	}
	if r.Rank < 0 || r.Rank > maxRank {
		p.Add(field+".rank", "use 0 to 1000, 0 for the requests that come first", "impossible value %d", r.Rank)
	}
	for i, part := range r.Split {
		if !model.ValidName(part.Service) || part.Weight < 0 {
			p.Add(fmt.Sprintf("%s.split[%d]", field, i), "name a service and a weight of at least 0", "impossible part %q with weight %d",
				part.Service, part.Weight)
		}
	}
}

func checkHost(p *strict.Problems, field, host string) {
	if host != strings.ToLower(host) || strings.ContainsAny(host, "/ \t\r\n:?#*") || len(host) > 253 {
		p.Add(field, "write the host name in lower case without scheme and port", "impossible host %q", host)
	}
}

func checkPrefix(p *strict.Problems, field, prefix string) {
	clean := strings.HasPrefix(prefix, "/") && !strings.Contains(prefix, "//") && !strings.ContainsAny(prefix, "?# \t\r\n")
	for part := range strings.SplitSeq(prefix, "/") {
		clean = clean && part != "." && part != ".."
	}
	if !clean || len(prefix) > maxText {
		p.Add(field, "write a path that starts with / and has no query, space or dot segments", "impossible path prefix %q", prefix)
	}
}
