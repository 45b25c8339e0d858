package member

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against updates that change on their way through a compressed bundle.
func TestBundleKeepsUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Bundle(rapid.SliceOfN(rapid.Custom(rumourGen), 0, 40).Draw(t, "rumours"))
		data, err := encoding.Marshal(want)
		require.NoError(t, err)
		var got Bundle
		require.NoError(t, decoding.Unmarshal(data, &got))
		require.Equal(t, []Rumour(want), append([]Rumour{}, got...))
	})
}

// Guards against bytes that expand beyond any bound, or that are taken for updates when they are none.
func TestHostileBundles(t *testing.T) {
	var bomb bytes.Buffer
	w := must(flate.NewWriter(&bomb, flate.BestCompression))
	_, err := w.Write(make([]byte, maxBundle+1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	for _, data := range [][]byte{bomb.Bytes(), []byte("no deflate"), {}} {
		var b Bundle
		require.ErrorIs(t, b.UnmarshalCBOR(must(encoding.Marshal(data))), ErrMalformed)
	}
	rapid.Check(t, func(t *rapid.T) {
		var b Bundle
		_ = b.UnmarshalCBOR(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
