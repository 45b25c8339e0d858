package router

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Match is the route of a request and its service.
type Match struct {
	Service string
	Route   *model.RouteSpec
}

// Table maps requests to routes; it is immutable.
type Table struct {
	number  uint64
	routes  int
	hosts   map[string]*prefixes
	anyHost *prefixes
}

// TableHolder holds the current table; readers load it without a lock.
type TableHolder struct {
	pointer atomic.Pointer[Table]
}

type prefixes struct {
	byPath   map[string][]entry
	maxDepth int
	// literal holds the routes whose prefix is compared with the path byte by byte.
	literal map[string][]entry
}

type entry struct {
	match   Match
	methods []string
}

// Load returns the current table; it is nil before the first Store.
func (c *TableHolder) Load() *Table {
	return c.pointer.Load()
}

// Store replaces the current table.
func (c *TableHolder) Store(t *Table) {
	c.pointer.Store(t)
}

// New builds a table; it fails with ErrInvalid if a prefix is malformed or two routes accept the same request.
func New(c *model.Configuration) (*Table, error) {
	t := &Table{hosts: make(map[string]*prefixes), anyHost: newPrefixes()}
	if c == nil {
		return t, nil
	}
	t.number = c.Number
	for i := range c.Services {
		for j := range c.Services[i].Routes {
			if err := t.add(c.Services[i].Name, &c.Services[i].Routes[j]); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// Number returns the number of the configuration that the table was built from.
func (t *Table) Number() uint64 {
	return t.number
}

// Len returns the number of routes.
func (t *Table) Len() int {
	return t.routes
}

// Match finds the route of a request; it fails with ErrNoRoute, ErrMethod or ErrPath.
func (t *Table) Match(host, path, method string) (Match, error) {
	for _, p := range [...]*prefixes{t.hosts[hostName(host)], t.anyHost} {
		if p == nil {
			continue
		}
		if entries := p.findLiteral(path); entries != nil {
			return choose(entries, method)
		}
		if !validPath(path) {
			if len(p.byPath) > 0 {
				return Match{}, ErrPath
			}
			continue
		}
		if entries := p.find(path); entries != nil {
			return choose(entries, method)
		}
	}
	return Match{}, ErrNoRoute
}

func (t *Table) add(service string, route *model.RouteSpec) error {
	if !route.Literal && !validPath(route.PathPrefix) || strings.ContainsAny(route.PathPrefix, "?#") {
		return eris.Wrapf(ErrInvalid, "route %q of service %q: path-prefix %q must start with / and contain no dot segments",
			route.Name, service, route.PathPrefix)
	}
	p := t.anyHost
	if route.Host != "" {
		host := hostName(route.Host)
		if p = t.hosts[host]; p == nil {
			p = newPrefixes()
			t.hosts[host] = p
		}
	}
	t.routes++
	return p.add(entry{match: Match{Service: service, Route: route}, methods: upperAll(route.Methods)})
}

func newPrefixes() *prefixes {
	return &prefixes{byPath: make(map[string][]entry), literal: make(map[string][]entry)}
}

func (p *prefixes) add(e entry) error {
	path, known := trimSlash(e.match.Route.PathPrefix), p.byPath
	if e.match.Route.Literal {
		path, known = e.match.Route.PathPrefix, p.literal
	}
	for _, other := range known[path] {
		if overlap(e.methods, other.methods) {
			return eris.Wrapf(ErrInvalid, "route %q of service %q and route %q of service %q accept the same requests; "+
				"change the host, path-prefix or methods of one of them",
				e.match.Route.Name, e.match.Service, other.match.Route.Name, other.match.Service)
		}
	}
	known[path] = append(known[path], e)
	if !e.match.Route.Literal {
		p.maxDepth = max(p.maxDepth, strings.Count(path, "/"))
	}
	return nil
}

// findLiteral tries the prefixes of the path that end with a slash, longest first.
func (p *prefixes) findLiteral(path string) []entry {
	if len(p.literal) == 0 {
		return nil
	}
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if entries := p.literal[path[:i+1]]; entries != nil {
			return entries
		}
	}
	return nil
}

// find tries the prefixes of the path, longest first. The path is cut to the depth of the deepest prefix in the table,
// which bounds the number of lookups for long paths.
func (p *prefixes) find(path string) []entry {
	for path = cutDepth(path, p.maxDepth); path != ""; {
		if entries := p.byPath[path]; entries != nil {
			return entries
		}
		path = path[:strings.LastIndexByte(path, '/')]
	}
	return p.byPath[""]
}

func choose(entries []entry, method string) (Match, error) {
	for i := range entries {
		if len(entries[i].methods) == 0 || slices.Contains(entries[i].methods, method) {
			return entries[i].match, nil
		}
	}
	return Match{}, ErrMethod
}

func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

func upperAll(methods []string) []string {
	upper := make([]string, 0, len(methods))
	for _, method := range methods {
		upper = append(upper, strings.ToUpper(method))
	}
	return upper
}
