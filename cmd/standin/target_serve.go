package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Headers that control a single request to a stand-in target.
const (
	// headerRequest identifies the request in the records of the target; it is echoed.
	headerRequest = "Standin-Request"
	// headerCrash crashes every target that runs the request, after the time in its value. It needs no fault of the
	// target: one that was started again would otherwise run the request unharmed until the fault is set.
	headerCrash = "Standin-Crash"
	// pathHealth answers probes.
	pathHealth = "/health"
	blockBytes = 32 << 10
)

// workAnswer is the body of an answer without `bytes` in the query.
type workAnswer struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	URI     string `json:"uri"`
	// Length and Checksum (CRC-32C) are those of the request body.
	Length   int64  `json:"length"`
	Checksum uint32 `json:"checksum"`
}

// serve does the work of one request. The query may ask for `bytes` (a body of that length with Range support) and
// `service-time`.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	current, changed := t.faults.get()
	if r.URL.Path == pathHealth {
		if current.StallProbes {
			wait(r, changed)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	id := r.Header.Get(headerRequest)
	t.records.begin(id, r.Header.Get("Idempotency-Key"))
	whole := false
	defer func() { t.records.end(id, whole) }()
	if after, err := time.ParseDuration(r.Header.Get(headerCrash)); err == nil {
		// A caller that goes away does not save the target.
		time.Sleep(after)
		t.config.Crash()
		reset(w)
		return
	}
	whole = t.run(w, r, current, changed)
}

func (t *target) run(w http.ResponseWriter, r *http.Request, f fault, changed <-chan struct{}) bool {
	sum := crc32.New(crc32.MakeTable(crc32.Castagnoli))
	length, err := io.Copy(sum, r.Body)
	if err != nil {
		http.Error(w, "the body ended early", http.StatusBadRequest)
		return false
	}
	if f.Stall && !wait(r, changed) {
		return false
	}
	if !t.doWork(r, f) {
		return false
	}
	switch {
	case t.work.hits(f.ErrorRatio):
		http.Error(w, "error on request of the control endpoint", http.StatusInternalServerError)
		return true
	case t.work.hits(f.ResetRatio):
		reset(w)
		return false
	case r.URL.Query().Has("bytes"):
		return t.serveBytes(w, r, f, changed)
	}
	return t.serveAnswer(w, r, f, workAnswer{
		Target: t.config.ID, Service: t.config.Service, Request: r.Header.Get(headerRequest),
		Key: r.Header.Get("Idempotency-Key"), Method: r.Method, URI: r.RequestURI, Length: length, Checksum: sum.Sum32(),
	})
}

func (t *target) doWork(r *http.Request, f fault) bool {
	d := t.work.draw()
	if text := r.URL.Query().Get("service-time"); text != "" {
		if own, err := time.ParseDuration(text); err == nil {
			d = own
		}
	}
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.SlowAbove > 0 && t.records.inFlight.Load() > f.SlowAbove {
		d *= 2
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *target) serveAnswer(w http.ResponseWriter, r *http.Request, f fault, a workAnswer) bool {
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequest, a.Request)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.TruncateAfter > 0 && f.TruncateAfter < int64(len(body)) {
		_, _ = w.Write(body[:f.TruncateAfter])
		reset(w)
		return false
	}
	_, err = w.Write(body)
	return err == nil
}

// serveBytes serves a body whose content depends only on the offset, the same at all targets, with Range support.
func (t *target) serveBytes(w http.ResponseWriter, r *http.Request, f fault, changed <-chan struct{}) bool {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "bytes must be a number", http.StatusBadRequest)
		return true
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Etag", fmt.Sprintf(`"standin-%d"`, size))
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	if r.URL.Query().Has("chunked") {
		return t.copyBytes(&faultWriter{w: w, r: r, fault: f, changed: changed}, size)
	}
	out := &faultWriter{w: w, r: r, fault: f, changed: changed}
	http.ServeContent(out, r, "", time.Time{}, &pattern{size: size})
	return !out.broken
}

func (t *target) copyBytes(out *faultWriter, size int64) bool {
	_, err := io.Copy(struct{ io.Writer }{out}, &pattern{size: size})
	return err == nil && !out.broken
}

// pattern is a body whose byte at each offset is computed from the offset.
type pattern struct {
	size   int64
	offset int64
}

// patternByte returns the byte at the offset. The period is a prime, so that a shifted body is noticed.
func patternByte(offset int64) byte {
	return byte(offset % 251)
}

// Read fills the bytes from the current offset.
func (p *pattern) Read(b []byte) (int, error) {
	if p.offset >= p.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.size-p.offset))
	filled := 0
	for filled < n {
		at := int((p.offset + int64(filled)) % 251)
		filled += copy(b[filled:n], patternBlock[at:])
	}
	p.offset += int64(n)
	return n, nil
}

// patternBlock holds many periods of the pattern.
var patternBlock = func() []byte {
	period := make([]byte, 251)
	for i := range period {
		period[i] = patternByte(int64(i))
	}
	return bytes.Repeat(period, blockBytes/251+2)
}()

// Seek moves the offset.
func (p *pattern) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
		p.offset = offset
	case io.SeekCurrent:
		p.offset += offset
	case io.SeekEnd:
		p.offset = p.size + offset
	}
	return p.offset, nil
}

// faultWriter breaks a body off or holds it after a number of bytes.
type faultWriter struct {
	w       http.ResponseWriter
	r       *http.Request
	fault   fault
	changed <-chan struct{}
	written int64
	broken  bool
}

// Header returns the header of the answer.
func (f *faultWriter) Header() http.Header {
	return f.w.Header()
}

// WriteHeader sends the header.
func (f *faultWriter) WriteHeader(status int) {
	f.w.WriteHeader(status)
}

// Write writes until the fault shows.
func (f *faultWriter) Write(p []byte) (int, error) {
	if f.broken {
		return 0, io.ErrClosedPipe
	}
	if limit := f.fault.TruncateAfter; limit > 0 && f.written+int64(len(p)) > limit {
		_, _ = f.w.Write(p[:limit-f.written])
		reset(f.w)
		f.broken = true
		return 0, io.ErrClosedPipe
	}
	if limit := f.fault.StallAfter; limit > 0 && f.written+int64(len(p)) > limit {
		_ = http.NewResponseController(f.w).Flush()
		if !wait(f.r, f.changed) {
			f.broken = true
			return 0, io.ErrClosedPipe
		}
	}
	n, err := f.w.Write(p)
	f.written += int64(n)
	return n, err
}

// wait holds a request until the fault changes; it returns false when the caller went away.
func wait(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	}
}

// reset closes the connection of the request with RST.
func reset(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = buffered.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
