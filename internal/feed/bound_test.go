package feed

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a peer whose stated length makes the decoder allocate megabytes, and against refusing messages that
// followers send, however they are cut into packets.
func TestMessageBound(t *testing.T) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for i := range 300 {
		require.NoError(t, encoder.Encode(WatchArgs{After: uint64(i) << 40, Number: uint64(i)}))
		require.NoError(t, encoder.Encode(make([]byte, 10*i)))
	}
	for _, size := range []int{1, 7, 4096} {
		var b messageBound
		for p := stream.Bytes(); len(p) > 0; p = p[min(size, len(p)):] {
			require.True(t, b.accept(p[:min(size, len(p))]))
		}
		require.False(t, b.accept([]byte{0xfc, 0x30, 0, 0, 0}))
	}
}
