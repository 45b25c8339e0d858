package check_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/check"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// sound returns a configuration without findings.
func sound() check.Config {
	return check.Config{
		Configuration: model.Configuration{Number: 1, Services: []model.ServiceSpec{
			{Name: "a", Routes: []model.RouteSpec{
				{Name: "read", Host: "h", PathPrefix: "/read/", Literal: true, Timeout: model.Duration(time.Second), Objective: model.Duration(time.Second)},
				{Name: "split", Host: "h", PathPrefix: "/split/", Literal: true, Split: []model.SplitPart{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}}},
			}},
			{Name: "b"},
		}},
		Accounts: []model.ClientAccount{
			{Name: "x", Keys: []model.KeyDigest{model.DigestKey("secret-1")}, Quota: model.Quota{Rate: 5, Burst: 5}},
			{Name: "y", Keys: []model.KeyDigest{model.DigestKey("secret-2")}},
		},
	}
}

// Guards against a configuration that nodes reject, or that does not do what it says, and is sent without a word.
func TestFindings(t *testing.T) {
	require.Empty(t, check.Configuration(sound()))
	for name, c := range map[string]struct {
		spoil    func(*check.Config, *model.RouteSpec, *model.ClientAccount)
		severity check.Severity
		text     string
	}{
		"same requests":  {func(_ *check.Config, r *model.RouteSpec, _ *model.ClientAccount) { r.PathPrefix = "/split/" }, check.Error, "same requests"},
		"late objective": {func(_ *check.Config, r *model.RouteSpec, _ *model.ClientAccount) { r.Objective *= 2 }, check.Warning, "beyond the timeout"},
		"negative time":  {func(_ *check.Config, r *model.RouteSpec, _ *model.ClientAccount) { r.Timeout = -1 }, check.Error, "negative"},
		"same name":      {func(_ *check.Config, r *model.RouteSpec, _ *model.ClientAccount) { r.Name = "split" }, check.Warning, "another route"},
		"public":         {func(c *check.Config, r *model.RouteSpec, _ *model.ClientAccount) { r.Public, c.Accounts = true, nil }, check.Warning, "public"},
		"no weight": {func(_ *check.Config, r *model.RouteSpec, _ *model.ClientAccount) {
			r.Split = []model.SplitPart{{Service: "a"}}
		}, check.Error, "all weights"},
		"unnamed service": {func(c *check.Config, _ *model.RouteSpec, _ *model.ClientAccount) {
			c.Configuration.Services[1].Name = ""
		}, check.Error, "no name"},
		"shared key":   {func(c *check.Config, _ *model.RouteSpec, a *model.ClientAccount) { a.Keys = c.Accounts[1].Keys }, check.Error, "shares a key"},
		"same account": {func(_ *check.Config, _ *model.RouteSpec, a *model.ClientAccount) { a.Name = "y" }, check.Error, "twice"},
		"no key":       {func(_ *check.Config, _ *model.RouteSpec, a *model.ClientAccount) { a.Keys = nil }, check.Warning, "no key"},
		"no burst":     {func(_ *check.Config, _ *model.RouteSpec, a *model.ClientAccount) { a.Quota.Burst = 0 }, check.Warning, "no burst"},
		"small burst":  {func(_ *check.Config, _ *model.RouteSpec, a *model.ClientAccount) { a.Quota.Burst = 0.5 }, check.Warning, "smaller than one"},
		"slow header": {func(c *check.Config, _ *model.RouteSpec, _ *model.ClientAccount) {
			c.Limits = check.Limits{HeaderTimeout: 2, IdleTimeout: 1}
		}, check.Warning, "idle"},
		"negative limit": {func(c *check.Config, _ *model.RouteSpec, _ *model.ClientAccount) { c.Limits.BodyBytes = -1 }, check.Error, "negative"},
		"no rate":        {func(_ *check.Config, _ *model.RouteSpec, a *model.ClientAccount) { a.Quota.Rate = 0 }, check.Warning, "without a rate"},
	} {
		t.Run(name, func(t *testing.T) {
			config := sound()
			c.spoil(&config, &config.Configuration.Services[0].Routes[0], &config.Accounts[0])
			list := check.Configuration(config)
			require.Equal(t, c.severity, check.Worst(list), "%v", list)
			require.Condition(t, func() bool {
				for _, f := range list {
					if f.Severity == c.severity && strings.Contains(f.Text, c.text) {
						return true
					}
				}
				return false
			}, "%v", list)
		})
	}
}

// Guards against a difference that is not named, and against a key that is.
func TestCompare(t *testing.T) {
	changes, list := check.Compare(sound(), sound())
	require.Empty(t, changes)
	require.Equal(t, check.Error, check.Worst(list), "nodes ignore a number that is not higher")
	next := sound()
	next.Configuration.Number = 2
	next.Limits.BodyBytes = 7
	routes := next.Configuration.Services[0].Routes
	moved := routes[0]
	moved.Timeout *= 2
	next.Configuration.Services[0].Routes = nil
	next.Configuration.Services[1].Routes = []model.RouteSpec{moved, {Name: "new", Host: "h", PathPrefix: "/new/", Literal: true}}
	next.Accounts[0].Keys = []model.KeyDigest{model.DigestKey("secret-3"), model.DigestKey("secret-4")}
	next.Accounts = append(next.Accounts[:1], model.ClientAccount{Name: "z"})
	changes, list = check.Compare(sound(), next)
	require.Empty(t, list)
	require.Equal(t, []check.Change{
		{Place: "account x", Text: "keys: 2 added, 1 removed"},
		{Place: "account y", Text: "removed"},
		{Place: "account z", Text: "added"},
		{Place: "limits", Text: "headers of 0 and bodies of 0 bytes to headers of 0 and bodies of 7"},
		{Place: "route new", Text: "added"},
		{Place: "route read", Text: "goes to: a to b"},
		{Place: "route read", Text: "timeout: 1s to 2s"},
		{Place: "route split", Text: "removed"},
	}, changes)
}
