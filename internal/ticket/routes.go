package ticket

import (
	"fmt"
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// routeMatch is what a request must match; two routes with the same match would make routing depend on their order.
type routeMatch struct {
	host, prefix, method string
}

type routeID struct {
	service, route string
}

// routeIndex finds routes with the same name or the same match.
type routeIndex struct {
	matches map[routeMatch]routeID
	names   map[routeID]bool
}

// checkRoutes reports conflicts between the routes of one ticket.
func checkRoutes(p *strict.Problems, services []model.ServiceSpec) {
	index := routeIndex{matches: make(map[routeMatch]routeID), names: make(map[routeID]bool)}
	total := 0
	for i, s := range services {
		total += len(s.Routes)
		for j, r := range s.Routes {
			index.add(p, fmt.Sprintf("services[%d].routes[%d]", i, j), s.Name, r)
		}
	}
	if total > MaxRoutes {
		p.Add("services", "split the ticket", "%d routes are more than %d", total, MaxRoutes)
	}
}

// checkAgainst reports conflicts between the routes of the ticket and those of services that it does not change.
func checkAgainst(p *strict.Problems, c *model.Configuration, t model.Ticket) {
	index := routeIndex{matches: make(map[routeMatch]routeID), names: make(map[routeID]bool)}
	total := 0
	for _, s := range c.Services {
		total += len(s.Routes)
		if setsService(t, s.Name) {
			continue
		}
		for _, r := range s.Routes {
			index.add(new(strict.Problems), "", s.Name, r)
		}
	}
	for i, s := range t.Services {
		for j, r := range s.Routes {
			index.add(p, fmt.Sprintf("services[%d].routes[%d]", i, j), s.Name, r)
		}
	}
	if len(c.Services) > MaxServices || total > MaxRoutes {
		p.Add("services", "remove services that are no longer used",
			"the configuration would hold %d services and %d routes; the limits are %d and %d", len(c.Services), total, MaxServices, MaxRoutes)
	}
}

func setsService(t model.Ticket, service string) bool {
	return slices.ContainsFunc(t.Services, func(s model.ServiceSpec) bool { return s.Name == service })
}

func (x routeIndex) add(p *strict.Problems, field, service string, r model.RouteSpec) {
	id := routeID{service: service, route: r.Name}
	if x.names[id] {
		p.Add(field+".name", "give each route of a service a name of its own", "route %q is named twice", r.Name)
	}
	x.names[id] = true
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, method := range methods {
		at := routeMatch{host: r.Host, prefix: r.PathPrefix, method: method}
		if other, used := x.matches[at]; used && other != id {
			p.Add(field+".path-prefix", "change host, path prefix or methods of one of the routes",
				"the route matches the same requests as route %s of service %s", other.route, other.service)
			return
		}
		x.matches[at] = id
	}
}
