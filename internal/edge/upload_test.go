package edge_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	gibibyte = 1 << 30
	// memoryBound is the growth that the design documentation permits for a body of 1 GiB.
	memoryBound = 64 << 20
)

// zeros is a reader of a fixed number of zero bytes.
type zeros struct{ left int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), z.left))
	clear(p[:n])
	z.left -= int64(n)
	return n, nil
}

// Guards against bodies that are buffered in memory as a whole, in both directions.
func TestLargeBodiesNeedBoundedMemory(t *testing.T) {
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			_, _ = io.Copy(w, &zeros{left: gibibyte})
		}
	})
	f := newFleet(t, fleetConfig{targets: []http.Handler{target}})
	f.send(http.MethodPost, "/orders/1", make([]byte, 1<<20))
	var peak atomic.Uint64
	stop := make(chan struct{})
	base := heap()
	go watchHeap(&peak, stop)
	response, err := f.front.Client().Get(f.front.URL + "/artwork/1")
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, int64(gibibyte), n)
	require.NoError(t, response.Body.Close())
	response, err = f.front.Client().Post(f.front.URL+"/artwork/1", "", &zeros{left: gibibyte})
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode)
	require.NoError(t, response.Body.Close())
	close(stop)
	growth := int64(peak.Load()) - int64(base)
	t.Logf("memory from the operating system grew by %.1f MiB during a download and an upload of 1 GiB each", float64(growth)/(1<<20))
	require.Less(t, growth, int64(memoryBound))
}

// heap returns the memory that the process has obtained from the operating system and not returned.
func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys - m.HeapReleased
}

func watchHeap(peak *atomic.Uint64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			peak.Store(max(peak.Load(), heap()))
		}
	}
}

// Guards against large uploads that are consumed by a target that refuses them, so that they can't be sent to the next
// one.
func TestRefusedUploadGoesToNextTarget(t *testing.T) {
	working := &counter{}
	f := newFleet(t, fleetConfig{targets: []http.Handler{&counter{}, working}, edge: edge.Config{Picker: inOrder{}}})
	require.NoError(t, f.agents[0].Drain("shop", "t0"))
	got := f.send(http.MethodPost, "/orders/1", bytes.Repeat([]byte("x"), 3<<20))
	require.NoError(t, got.err)
	require.Equal(t, "ran /orders/1 3145728", string(got.body))
}

// Guards against goroutines and connections that wait for the rest of an upload after the target has responded.
func TestEarlyResponseToUpload(t *testing.T) {
	early := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	f := newFleet(t, fleetConfig{targets: []http.Handler{early}})
	reader, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = writer.Write(bytes.Repeat([]byte("x"), 100<<10)) }()
	request, err := http.NewRequest(http.MethodPost, f.front.URL+"/orders/1", reader)
	require.NoError(t, err)
	got := f.do(request)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	require.Equal(t, model.OutcomeDone, got.outcome())
	require.Eventually(t, func() bool { return f.edge.InFlight() == 0 && f.agents[0].InFlight() == 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against requests that are canceled because the body of an earlier request on the same connection was aborted.
func TestRequestsAfterUploads(t *testing.T) {
	f := newFleet(t, fleetConfig{targets: []http.Handler{&counter{}}})
	body := make([]byte, 200<<10)
	for i := range 300 {
		got := f.send(http.MethodPost, "/orders/1", body)
		require.NoError(t, got.err)
		require.Equal(t, 200, got.status, "upload %d: %s", i, got.body)
		got = f.send(http.MethodPost, "/orders/1", nil)
		require.NoError(t, got.err)
		require.Equal(t, 200, got.status, "request after upload %d: %s", i, got.body)
	}
}
