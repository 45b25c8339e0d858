package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Change is one difference from the configuration in force.
type Change struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

// namedRoute is a route with the service that defines it.
type namedRoute struct {
	model.RouteSpec
	service string
}

// Compare returns what the next configuration changes, and a finding if nodes would ignore it. Keys are only counted.
func Compare(inForce, next Config) (changes []Change, list []Finding) {
	var f findings
	if next.Configuration.Number <= inForce.Configuration.Number {
		f.errorf("version", "nodes ignore it, since its number %d does not exceed %d, which is in force; raise it",
			next.Configuration.Number, inForce.Configuration.Number)
	}
	add := func(place, format string, values ...any) {
		changes = append(changes, Change{Place: place, Text: fmt.Sprintf(format, values...)})
	}
	compare(routesOf(inForce.Configuration), routesOf(next.Configuration), "route ", add, compareRoutes)
	compare(accountsOf(inForce), accountsOf(next), "account ", add, compareAccounts)
	before, then := inForce.Limits, next.Limits
	if before.HeaderBytes != then.HeaderBytes || before.BodyBytes != then.BodyBytes {
		add("limits", "headers of %d and bodies of %d bytes to headers of %d and bodies of %d", before.HeaderBytes, before.BodyBytes,
			then.HeaderBytes, then.BodyBytes)
	}
	if before.HeaderTimeout != then.HeaderTimeout || before.IdleTimeout != then.IdleTimeout {
		add("limits", "headers within %s and idle for %s to headers within %s and idle for %s", before.HeaderTimeout, before.IdleTimeout,
			then.HeaderTimeout, then.IdleTimeout)
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Place, b.Place) })
	return changes, f
}

// compare reports what was added and removed, and the differences of what is in both.
func compare[T any](before, after map[string]T, kind string, add func(place, format string, values ...any), differences func(a, b T) []string) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, kept := after[name]; !kept {
			add(kind+name, "removed")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		known, found := before[name]
		if !found {
			add(kind+name, "added")
			continue
		}
		for _, text := range differences(known, after[name]) {
			add(kind+name, "%s", text)
		}
	}
}

func compareRoutes(a, b namedRoute) (list []string) {
	for _, d := range []struct {
		what         string
		before, then any
	}{
		{"host", a.Host, b.Host},
		{"prefix", a.PathPrefix, b.PathPrefix},
		{"goes to", destination(a), destination(b)},
		{"timeout", a.Timeout, b.Timeout},
		{"objective", a.Objective, b.Objective},
		{"attempts", a.MaxAttempts, b.MaxAttempts},
		{"rank", a.Rank, b.Rank},
		{"idempotent", a.Idempotent, b.Idempotent},
		{"public", a.Public, b.Public},
	} {
		if d.before != d.then {
			list = append(list, fmt.Sprintf("%s: %v to %v", d.what, d.before, d.then))
		}
	}
	return list
}

func compareAccounts(a, b model.ClientAccount) (list []string) {
	without := func(keys, other []model.KeyDigest) (n int) {
		for _, key := range keys {
			if !slices.Contains(other, key) {
				n++
			}
		}
		return n
	}
	if added, removed := without(b.Keys, a.Keys), without(a.Keys, b.Keys); added+removed > 0 {
		list = append(list, fmt.Sprintf("keys: %d added, %d removed", added, removed))
	}
	if a.Quota != b.Quota {
		list = append(list, fmt.Sprintf("quota: %g/s with a burst of %g to %g/s with a burst of %g", a.Quota.Rate, a.Quota.Burst, b.Quota.Rate, b.Quota.Burst))
	}
	if before, then := rankOf(a), rankOf(b); before != then {
		list = append(list, fmt.Sprintf("rank: %s to %s", before, then))
	}
	return list
}

func rankOf(a model.ClientAccount) string {
	if !a.HasRank {
		return "that of the route"
	}
	return fmt.Sprint(a.Rank)
}

// destination returns the service of the route, or its services with their weights.
func destination(r namedRoute) string {
	if len(r.Split) == 0 {
		return r.service
	}
	parts := make([]string, 0, len(r.Split))
	for _, part := range r.Split {
		parts = append(parts, fmt.Sprintf("%s %d", part.Service, part.Weight))
	}
	return strings.Join(parts, ", ")
}

func routesOf(c model.Configuration) map[string]namedRoute {
	routes := make(map[string]namedRoute)
	for _, s := range c.Services {
		for _, r := range s.Routes {
			routes[r.Name] = namedRoute{RouteSpec: r, service: s.Name}
		}
	}
	return routes
}

func accountsOf(c Config) map[string]model.ClientAccount {
	accounts := make(map[string]model.ClientAccount)
	for _, a := range c.Accounts {
		accounts[a.Name] = a
	}
	return accounts
}
