package access

import (
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func accountWith(name string, keys ...string) model.ClientAccount {
	a := model.ClientAccount{Name: name}
	for _, key := range keys {
		a.Keys = append(a.Keys, model.DigestKey(key))
	}
	return a
}

// Guards against a request that is served under another account, and against a withdrawn key that still works.
func TestIdentify(t *testing.T) {
	var h Holder
	_, required := h.Identify("k1")
	require.False(t, required, "no configuration")
	for _, c := range []struct {
		accounts []model.ClientAccount
		want     map[string]string
	}{
		{nil, map[string]string{}},
		{
			[]model.ClientAccount{accountWith("a", "k1", "k2", "k1"), accountWith("b", "k3"), accountWith("c")},
			map[string]string{"k1": "a", "k2": "a", "k3": "b"},
		},
		{[]model.ClientAccount{accountWith("a", "k2"), accountWith("b", "k1")}, map[string]string{"k1": "b", "k2": "a"}},
	} {
		table, err := NewTable(c.accounts)
		require.NoError(t, err)
		h.Store(table)
		for _, key := range []string{"", "k1", "k2", "k3", "K1"} {
			account, required := h.Identify(key)
			require.Equal(t, len(c.accounts) > 0, required)
			name := ""
			if account != nil {
				name = account.Name
			}
			require.Equal(t, c.want[key], name, key)
		}
	}
}

// Guards against a key that would belong to two accounts, and against an error that shows it.
func TestSharedKeyIsRejected(t *testing.T) {
	_, err := NewTable([]model.ClientAccount{accountWith("a", "s3cret"), accountWith("b", "s3cret")})
	require.ErrorContains(t, err, "share a key")
	require.NotContains(t, err.Error(), "s3cret")
	_, err = NewTable([]model.ClientAccount{accountWith("a", "k1"), accountWith("a", "k2")})
	require.Error(t, err)
}

// Guards against lookups that see a half-built table while a configuration is installed.
func TestStoreDuringLookups(t *testing.T) {
	var h Holder
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 2000 {
				if account, required := h.Identify("k"); required {
					require.NotNil(t, account)
				}
			}
		})
	}
	for i := range 200 {
		table, err := NewTable([]model.ClientAccount{accountWith(strconv.Itoa(i), "k")})
		require.NoError(t, err)
		h.Store(table)
	}
	group.Wait()
}

func BenchmarkIdentify(b *testing.B) {
	var accounts []model.ClientAccount
	for i := range 1000 {
		n := strconv.Itoa(i)
		accounts = append(accounts, accountWith(n, "key-a-"+n, "key-b-"+n))
	}
	table, err := NewTable(accounts)
	require.NoError(b, err)
	var h Holder
	h.Store(table)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if account, _ := h.Identify("key-b-500"); account == nil {
				b.Error("unknown key")
			}
		}
	})
}
