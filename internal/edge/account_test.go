package edge_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// keyed is a protocol with keys, in which the parent of a nested call is stated in a header.
type keyed struct{ nestedCalls }

func (keyed) AccountKey(r *http.Request) (key, header string) { return r.Header.Get("Key"), "Key" }
func (keyed) Parent(r *http.Request) string                   { return r.Header.Get("Parent") }

// keys are the client accounts of a node and what it knows about its configuration.
type keys struct {
	accounts            map[string]*model.ClientAccount
	unconfirmed, behind bool
}

func (k *keys) Identify(key string) (*model.ClientAccount, bool) {
	return k.accounts[key], k.accounts != nil
}
func (k *keys) Confirmed() bool              { return !k.unconfirmed }
func (k *keys) Behind() bool                 { return k.behind }
func (k *keys) Number() uint64               { return 1 }
func (k *keys) ObserveAt(model.Node, uint64) {}

// onlyParent knows one running request.
type onlyParent struct{ id string }

func (p onlyParent) Parent(id string) (relay.Parent, bool) {
	return relay.Parent{Rank: 3, Account: "maker"}, id == p.id
}
func (onlyParent) CallEnded(string, bool) {}

// Guards against requests that run without a key, against 401 for a key that this node can't judge, against callers that
// pass for calls of a target, and against keys and forged accounts that are passed on.
func TestAccountOfARequest(t *testing.T) {
	accounts := map[string]*model.ClientAccount{
		"k1": {Name: "maker"}, "k2": {Name: "buyer", Rank: 2, HasRank: true},
	}
	for name, c := range map[string]struct {
		keys           keys
		path           string
		key, parent    string
		status         int
		rank           int
		account, owner string
	}{
		"no accounts":                       {path: "/reads", key: "k9", status: 200, rank: 1},
		"key":                               {keys: keys{accounts: accounts}, path: "/reads", key: "k1", status: 200, account: "maker", rank: 1<<8 + 1},
		"rank of the account":               {keys: keys{accounts: accounts}, path: "/reads", key: "k2", status: 200, account: "buyer", rank: 2<<8 + 1},
		"unknown key":                       {keys: keys{accounts: accounts}, path: "/reads", key: "k9", status: 401},
		"no key":                            {keys: keys{accounts: accounts}, path: "/reads", status: 401},
		"unknown key behind":                {keys: keys{accounts: accounts, behind: true}, path: "/reads", key: "k9", status: 503},
		"key behind":                        {keys: keys{accounts: accounts, behind: true}, path: "/reads", key: "k1", status: 200, account: "maker", rank: 1<<8 + 1},
		"unconfirmed":                       {keys: keys{accounts: accounts, unconfirmed: true}, path: "/reads", key: "k1", status: 503},
		"unconfirmed public":                {keys: keys{accounts: accounts, unconfirmed: true}, path: "/open", status: 200, rank: 1<<8 + 1},
		"public with a key":                 {keys: keys{accounts: accounts}, path: "/open", key: "k1", status: 200, account: "maker", rank: 1<<8 + 1},
		"public with an unknown key":        {keys: keys{accounts: accounts}, path: "/open", key: "k9", status: 200, rank: 1<<8 + 1},
		"call":                              {keys: keys{accounts: accounts}, path: "/reads", parent: "p1", status: 200, owner: "maker", rank: 3},
		"call of a request that is unknown": {keys: keys{accounts: accounts}, path: "/reads", parent: "p2", status: 503},
		"key that states a parent":          {keys: keys{accounts: accounts}, path: "/reads", key: "k1", parent: "p1", status: 200, account: "maker", rank: 1<<8 + 1},
		"unknown key that states a parent":  {keys: keys{accounts: accounts}, path: "/reads", key: "k9", parent: "p1", status: 401},
		"no route":                          {keys: keys{accounts: accounts}, path: "/none", key: "k1", status: 404},
		"no route behind":                   {keys: keys{accounts: accounts, behind: true}, path: "/none", key: "k1", status: 503},
	} {
		clock := timer.NewManual(time.Now().Add(-time.Hour))
		var seen http.Header
		f := newFleet(t, fleetConfig{
			targets: []http.Handler{http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})},
			routes: []model.RouteSpec{
				{Name: "reads", PathPrefix: "/reads", Idempotent: true, Rank: 1},
				{Name: "open", PathPrefix: "/open", Idempotent: true, Rank: 1, Public: true},
			},
			edge: edge.Config{
				Protocol: keyed{}, Accounts: &c.keys, Configurations: &c.keys, Parents: onlyParent{"p1"}, Picker: inOrder{},
				Clock: clock, NegotiateAdmission: true,
			},
			relay: func(_ int, next http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					seen = r.Header.Clone()
					next.ServeHTTP(w, r)
				})
			},
		})
		clock.Advance(time.Hour)
		r := httptest.NewRequest(http.MethodGet, c.path, nil)
		r.Header = http.Header{"Key": {c.key}, "Parent": {c.parent}, model.HeaderAccount: {"forged"}, model.HeaderParentAccount: {"forged"}}
		w := httptest.NewRecorder()
		f.edge.ServeHTTP(w, r)
		require.Equal(t, c.status, w.Code, name)
		if c.status != http.StatusOK {
			require.Nil(t, seen, name)
			continue
		}
		require.Equal(t, c.account, seen.Get(model.HeaderAccount), name)
		require.Equal(t, c.owner, seen.Get(model.HeaderParentAccount), name)
		class, ok := relay.ParseClass(seen.Get(model.HeaderClass))
		require.True(t, ok)
		require.Equal(t, c.rank, class.Rank, name)
		require.Equal(t, c.parent != "" && c.key == "", class.Nested, name)
		require.Equal(t, c.keys.accounts == nil, seen.Get("Key") != "", name)
	}
}
