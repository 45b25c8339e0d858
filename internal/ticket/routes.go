package ticket

import (
	"fmt"
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// place is what a request must match; two routes on one place would make the choice depend on their order.
type place struct {
	host, prefix, method string
}

type routeOwner struct {
	service, route string
}

// routeIndex finds routes that claim the same name or the same place.
type routeIndex struct {
	places map[place]routeOwner
	names  map[routeOwner]bool
}

// checkRoutes reports routes of one ticket that clash with each other.
func checkRoutes(p *strict.Problems, services []model.ServiceSpec) {
	index := routeIndex{places: make(map[place]routeOwner), names: make(map[routeOwner]bool)}
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

// checkTotal reports clashes between the routes of the ticket and those of services that it leaves as they are.
func checkTotal(p *strict.Problems, c *model.Configuration, t model.Ticket) {
	index := routeIndex{places: make(map[place]routeOwner), names: make(map[routeOwner]bool)}
	total := 0
	for _, s := range c.Services {
		total += len(s.Routes)
		if changes(t, s.Name) {
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

func changes(t model.Ticket, service string) bool {
	return slices.ContainsFunc(t.Services, func(s model.ServiceSpec) bool { return s.Name == service })
}

func (x routeIndex) add(p *strict.Problems, field, service string, r model.RouteSpec) {
	owner := routeOwner{service: service, route: r.Name}
	if x.names[owner] {
		p.Add(field+".name", "give each route of a service a name of its own", "route %q is named twice", r.Name)
	}
	x.names[owner] = true
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, method := range methods {
		at := place{host: r.Host, prefix: r.PathPrefix, method: method}
		if other, used := x.places[at]; used && other != owner {
			p.Add(field+".path-prefix", "change host, path prefix or methods of one of the routes",
				"the route matches the same requests as route %s of service %s", other.route, other.service)
			return
		}
		x.places[at] = owner
	}
}
