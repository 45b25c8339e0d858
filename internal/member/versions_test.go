package member

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against record versions that are changed by encoding and decoding, and against malicious input that causes a
// panic or is accepted.
func TestRecordVersionsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := RecordVersions{}
		for _, r := range rapid.SliceOf(rapid.Custom(rumourGen)).Draw(t, "rumours") {
			want = append(want, RecordVersion{Key: r.Key, Version: r.Version, ContentVersion: r.ContentVersion, Status: r.Status})
		}
		packed := must(encoding.Marshal(want))
		var got RecordVersions
		require.NoError(t, decoding.Unmarshal(packed, &got))
		require.Equal(t, want, append(RecordVersions{}, got...))
		if len(want) > 0 {
			var plain []byte
			require.NoError(t, decoding.Unmarshal(packed, &plain))
			cut := must(encoding.Marshal(plain[:len(plain)-1]))
			require.ErrorIs(t, got.UnmarshalCBOR(cut), ErrMalformed)
		}
		_ = got.UnmarshalCBOR(must(encoding.Marshal(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))))
	})
}
