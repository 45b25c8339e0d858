package access

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Table is the immutable set of the keys of one configuration.
type Table struct {
	accounts int
	byKey    map[model.KeyDigest]*model.ClientAccount
}

// Holder holds the table in force; it is safe for concurrent use, and lookups take no lock.
type Holder struct {
	table atomic.Pointer[Table]
}

// NewTable returns the table of the accounts; it fails if two of them have the same name or share a key.
func NewTable(accounts []model.ClientAccount) (*Table, error) {
	t := &Table{accounts: len(accounts), byKey: make(map[model.KeyDigest]*model.ClientAccount)}
	names := make(map[string]bool, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		if names[a.Name] {
			return nil, eris.Errorf("two client accounts have the name %q; rename one of them", a.Name)
		}
		names[a.Name] = true
		for _, digest := range a.Keys {
			if other := t.byKey[digest]; other != nil && other != a {
				return nil, eris.Errorf("the client accounts %q and %q share a key; give each account keys of its own", other.Name, a.Name)
			}
			t.byKey[digest] = a
		}
	}
	return t, nil
}

// Accounts returns the number of client accounts.
func (t *Table) Accounts() int { return t.accounts }

// Store puts the table in force.
func (h *Holder) Store(t *Table) { h.table.Store(t) }

// Identify returns the client account that holds the key, or nil; required is false while there are no client accounts.
func (h *Holder) Identify(key string) (account *model.ClientAccount, required bool) {
	t := h.table.Load()
	if t == nil || t.accounts == 0 {
		return nil, false
	}
	if key == "" {
		return nil, true
	}
	return t.byKey[model.DigestKey(key)], true
}
