package member

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against heads that change on their way, and against hostile bytes that panic or that no node can have sent.
func TestHeadsKeepVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Heads{}
		for _, r := range rapid.SliceOf(rapid.Custom(rumourGen)).Draw(t, "rumours") {
			want = append(want, Head{Key: r.Key, Version: r.Version, Content: r.ContentVersion, Status: r.Status})
		}
		packed := must(encoding.Marshal(want))
		var got Heads
		require.NoError(t, decoding.Unmarshal(packed, &got))
		require.Equal(t, want, append(Heads{}, got...))
		if len(want) > 0 {
			var plain []byte
			require.NoError(t, decoding.Unmarshal(packed, &plain))
			cut := must(encoding.Marshal(plain[:len(plain)-1]))
			require.ErrorIs(t, got.UnmarshalCBOR(cut), ErrMalformed)
		}
		_ = got.UnmarshalCBOR(must(encoding.Marshal(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))))
	})
}
