package member

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against rumours that are changed by encoding and decoding a compressed batch.
func TestRumourBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := RumourBatch(rapid.SliceOfN(rapid.Custom(rumourGen), 0, 40).Draw(t, "rumours"))
		data, err := encoding.Marshal(want)
		require.NoError(t, err)
		var got RumourBatch
		require.NoError(t, decoding.Unmarshal(data, &got))
		require.Equal(t, []Rumour(want), append([]Rumour{}, got...))
	})
}

// Guards against malicious input that decompresses beyond the size limit, and against invalid input that is accepted as
// rumours.
func TestMalformedRumourBatches(t *testing.T) {
	var bomb bytes.Buffer
	w := must(flate.NewWriter(&bomb, flate.BestCompression))
	_, err := w.Write(make([]byte, maxBatchSize+1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	for _, data := range [][]byte{bomb.Bytes(), []byte("no deflate"), {}} {
		var b RumourBatch
		require.ErrorIs(t, b.UnmarshalCBOR(must(encoding.Marshal(data))), ErrMalformed)
	}
	rapid.Check(t, func(t *rapid.T) {
		var b RumourBatch
		_ = b.UnmarshalCBOR(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
