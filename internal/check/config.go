package check

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Config is an operator's configuration as nodes decode it.
type Config struct {
	Configuration model.Configuration
	Accounts      []model.ClientAccount
	Limits        Limits
}

// Limits bounds what a caller may send, and how long it may take or stay idle; zero means no bound.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration returns what is wrong with the configuration. What a node rejects it for is among the errors, since both build the
// same table of routes.
func Configuration(c Config) []Finding {
	var f findings
	if _, err := router.New(&c.Configuration); err != nil {
		f.errorf("routes", "%v", err)
	}
	if len(routesOf(c.Configuration)) == 0 {
		f.warnf("routes", "there are none, so that every request gets 404; add one")
	}
	f.checkLimits(c.Limits)
	names := make(map[string]bool)
	for i := range c.Configuration.Services {
		s := &c.Configuration.Services[i]
		if s.Name == "" {
			f.errorf("services", "a service has no name; name it in the routes that lead to it")
		}
		for j := range s.Routes {
			r := &s.Routes[j]
			if names[r.Name] {
				f.warnf(placeOfRoute(r), "another route has this name, so that logs don't tell them apart; rename one")
			}
			names[r.Name] = true
			f.checkRoute(r, len(c.Accounts) > 0)
		}
	}
	f.checkAccounts(c.Accounts)
	return f
}

func (f *findings) checkLimits(l Limits) {
	if min(l.HeaderBytes, l.BodyBytes) < 0 || min(l.HeaderTimeout, l.IdleTimeout) < 0 {
		f.errorf("limits", "a bound is negative; use 0 for none")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.warnf("limits", "a header may take %s, but a connection may stay idle for %s only; lower the first", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (f *findings) checkRoute(r *model.RouteSpec, hasAccounts bool) {
	place := placeOfRoute(r)
	timeout, objective := time.Duration(r.Timeout), time.Duration(r.Objective)
	switch {
	case timeout < 0 || objective < 0:
		f.errorf(place, "the timeout of %s or the objective of %s is negative; correct it", timeout, objective)
	case timeout > 0 && objective > timeout:
		f.warnf(place, "the objective of %s lies beyond the timeout of %s, so that no answer comes late; lower one", objective, timeout)
	}
	if r.MaxAttempts < 0 {
		f.errorf(place, "%d attempts are allowed; use 0 for the default", r.MaxAttempts)
	}
	if r.Public && !hasAccounts {
		f.warnf(place, "it is public, but no route needs a key without client accounts; remove the field or add accounts")
	}
	total := 0
	parts := make(map[string]bool)
	for _, part := range r.Split {
		switch {
		case part.Weight < 0:
			f.errorf(place, "the weight of service %q is negative; correct it", part.Service)
		case part.Weight == 0:
			f.warnf(place, "service %q has the weight 0 and gets no requests; remove it or give it a weight of 0.001 or more", part.Service)
		}
		if parts[part.Service] {
			f.warnf(place, "service %q stands in the split twice; add up its weights", part.Service)
		}
		parts[part.Service] = true
		total += max(0, part.Weight)
	}
	if len(r.Split) > 0 && total == 0 {
		f.errorf(place, "all weights of the split are 0; give a service a weight")
	}
}

func (f *findings) checkAccounts(accounts []model.ClientAccount) {
	names := make(map[string]bool)
	holders := make(map[model.KeyDigest]string)
	for _, a := range accounts {
		place := placeOfAccount(a.Name)
		if names[a.Name] {
			f.errorf(place, "the account stands there twice; merge the entries")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			f.warnf(place, "it has no key, so that no request is of this account; add one or remove it")
		}
		for _, key := range a.Keys {
			switch holder, found := holders[key]; {
			case found && holder == a.Name:
				f.warnf(place, "a key stands there twice; remove one")
			case found:
				f.errorf(place, "it shares a key with account %q; give each its own", holder)
			}
			holders[key] = a.Name
		}
		switch q := a.Quota; {
		case q.Rate < 0 || q.Burst < 0:
			f.errorf(place, "the rate of %g or the burst of %g is negative; use 0 for no bound", q.Rate, q.Burst)
		case q.Rate == 0 && q.Burst > 0:
			f.warnf(place, "a burst of %g has no effect without a rate; set the rate", q.Burst)
		case q.Rate > 0 && q.Burst == 0:
			f.warnf(place, "there is a rate of %g but no burst, so that two requests at once exceed it; set the burst", q.Rate)
		case q.Rate > 0 && q.Burst < 1:
			f.warnf(place, "the burst of %g is smaller than one request; set it to 1 or more", q.Burst)
		}
	}
}

func placeOfRoute(r *model.RouteSpec) string { return "route " + r.Name }

func placeOfAccount(name string) string { return "account " + name }
