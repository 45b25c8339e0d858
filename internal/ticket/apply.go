package ticket

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Apply returns the configuration after the ticket; it shares unchanged services with the previous configuration. It
// never fails: every node must reach the same configuration from the same accepted tickets, whatever they contain.
func Apply(c *model.Configuration, t model.Ticket) *model.Configuration {
	next := &model.Configuration{Number: t.Number, Services: make([]model.ServiceSpec, 0, len(c.Services)+len(t.Services))}
	changed := make(map[string]bool, len(t.Services)+len(t.Remove))
	for _, name := range t.Remove {
		changed[name] = true
	}
	for _, spec := range t.Services {
		changed[spec.Name] = true
	}
	for _, spec := range c.Services {
		if !changed[spec.Name] {
			next.Services = append(next.Services, spec)
		}
	}
	next.Services = append(next.Services, t.Services...)
	slices.SortStableFunc(next.Services, func(a, b model.ServiceSpec) int { return strings.Compare(a.Name, b.Name) })
	return next
}
