package member

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against updates that change or get lost in a list of statuses, and against a datagram above its bound.
func TestStatusListsKeepUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Datagram{Kind: KindPush, From: simModel(0, 1).Ref}
		space := MaxDatagram - d.headerSize()
		var want, got []Rumour
		for _, r := range rapid.SliceOfN(rapid.Custom(rumourGen), 0, 300).Draw(t, "rumours") {
			r.Record, r.Ticket, r.Age = nil, 0, rapid.Uint32().Draw(t, "age")%3
			var added bool
			if space, added = d.add(&r, space); added {
				want = append(want, Rumour{Key: r.Key >> 32, Version: r.Version, ContentVersion: r.ContentVersion, Status: r.Status, Age: r.Age})
			}
		}
		data, err := EncodeDatagram(d)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), MaxDatagram)
		decoded, err := DecodeDatagram(data)
		require.NoError(t, err)
		for _, l := range decoded.Statuses {
			require.NoError(t, l.each(func(e statusEntry) {
				got = append(got, Rumour{Key: uint64(e.short), Version: e.version, ContentVersion: e.content, Status: l.Status, Age: l.Age})
			}))
		}
		require.ElementsMatch(t, want, got)
	})
}

// Guards against hostile lists of statuses: a panic, or entries that no node can have sent.
func TestHostileStatusLists(t *testing.T) {
	for _, entries := range []string{"\x01", "\x01\x02\x03\x04", "\x01\x02\x03\x04\x05", "\x01\x02\x03\x04\x01\x02", "\x01\x02\x03\x04\x80"} {
		list := StatusList{Status: StatusDead, Entries: []byte(entries)}
		require.ErrorIs(t, checkStatuses([]StatusList{list}), ErrMalformed, "%x", entries)
	}
	require.ErrorIs(t, checkStatuses([]StatusList{{Status: StatusLeft + 1}}), ErrMalformed)
	rapid.Check(t, func(t *rapid.T) {
		_ = checkStatuses([]StatusList{{Status: StatusDead, Entries: rapid.SliceOf(rapid.Byte()).Draw(t, "entries")}})
	})
}
