package edge_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/retry"
)

// artwork serves a body with Range support and aborts each response after a number of bytes.
type artwork struct {
	content []byte
	tag     string
	// breakAfter is the number of bytes after which a response is aborted; zero means never.
	breakAfter int
	stall      bool
	ranges     atomic.Int64
}

func (a *artwork) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Etag", a.tag)
	if r.Header.Get("Range") != "" {
		a.ranges.Add(1)
	}
	recorder := httptest.NewRecorder()
	recorder.Header().Set("Etag", a.tag)
	http.ServeContent(recorder, r, "", time.Time{}, bytes.NewReader(a.content))
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	body := recorder.Body.Bytes()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(recorder.Code)
	if a.breakAfter == 0 || len(body) <= a.breakAfter {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:a.breakAfter])
	_ = http.NewResponseController(w).Flush()
	if a.stall {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func newContent(size int) []byte {
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(i % 251)
	}
	return content
}

// Guards against downloads that fail with their target, and against resumed bodies with shifted, repeated or mixed
// parts.
func TestDownloadIsResumed(t *testing.T) {
	content := newContent(1 << 20)
	for _, stall := range []bool{false, true} {
		first := &artwork{content: content, tag: `"v1"`, breakAfter: 300_000, stall: stall}
		second := &artwork{content: content, tag: `"v1"`, breakAfter: 200_000}
		third := &artwork{content: content, tag: `"v1"`}
		f := newFleet(t, fleetConfig{
			targets: []http.Handler{first, second, third},
			edge: edge.Config{
				Picker: inOrder{}, ResumableIdleTimeout: 300 * time.Millisecond, Retry: retry.Config{Reserve: 10},
			},
		})
		got := f.send(http.MethodGet, "/artwork/1", nil)
		require.NoError(t, got.err)
		require.True(t, bytes.Equal(content, got.body), "body differs, %d bytes", len(got.body))
		require.Equal(t, int64(1), second.ranges.Load())
		require.Equal(t, int64(1), third.ranges.Load())
		got = f.send(http.MethodGet, "/artwork/1", nil, "Range", "bytes=100-700099")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusPartialContent, got.status)
		require.True(t, bytes.Equal(content[100:700_100], got.body), "partial body differs, %d bytes", len(got.body))
	}
}

// Guards against a body that is assembled from two representations.
func TestChangedDownloadIsNotResumed(t *testing.T) {
	tags := map[string]string{"changed": `"v2"`, "weak": `W/"v1"`}
	for name, tag := range tags {
		t.Run(name, func(t *testing.T) {
			first := &artwork{content: newContent(1 << 20), tag: `"v1"`, breakAfter: 300_000}
			if name == "weak" {
				first.tag = tag
			}
			second := &artwork{content: bytes.Repeat([]byte("2"), 1<<20), tag: tag}
			f := newFleet(t, fleetConfig{targets: []http.Handler{first, second}, edge: edge.Config{Picker: inOrder{}}})
			got := f.send(http.MethodGet, "/artwork/1", nil)
			require.Error(t, got.err)
			require.NotContains(t, string(got.body), "222")
		})
	}
}
