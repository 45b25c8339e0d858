package relay

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against frames that change, reorder or lose bytes of a body, however it is written and read.
func TestFramesKeepTheBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder := httptest.NewRecorder()
		w := NewFrameWriter(recorder, time.Hour)
		var want []byte
		for _, part := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 100)).Draw(t, "parts") {
			if rapid.Bool().Draw(t, "pause") {
				w.writeEmpty()
			}
			n, err := w.Write(part)
			require.NoError(t, err)
			require.Equal(t, len(part), n)
			want = append(want, part...)
		}
		w.Close()
		w.writeEmpty() // The timer may fire while the writer is closed.
		r := NewFrameReader(io.NopCloser(recorder.Body))
		var got []byte
		block := make([]byte, rapid.IntRange(1, 64).Draw(t, "block"))
		for {
			n, err := r.Read(block)
			got = append(got, block[:n]...)
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
		}
		require.True(t, bytes.Equal(want, got))
	})
}

// Guards against a body that was cut within a frame, or that is no framed body, being taken as complete.
func TestMalformedFrames(t *testing.T) {
	for name, body := range map[string]string{
		"cut length": "\x00\x00\x00", "cut frame": "\x00\x00\x00\x05abc", "missing frame": "\x00\x00\x00\x05", "text": "HTTP/1.1",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := io.ReadAll(NewFrameReader(io.NopCloser(bytes.NewReader([]byte(body)))))
			require.ErrorIs(t, err, ErrBroken)
		})
	}
}
