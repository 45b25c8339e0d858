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

// Request headers and paths that stand-in targets handle.
const (
	// headerRequestID identifies the request in the run records; it is copied to the response.
	headerRequestID = "Standin-Request"
	// headerCrash crashes every target that runs the request, after the duration in its value. It is a header and not an
	// injected fault because a restarted target would otherwise run the request without crashing until the fault is set.
	headerCrash = "Standin-Crash"
	// pathHealth is the path of health probes.
	pathHealth = "/health"
	blockSize  = 32 << 10
)

// workResponse is the response body for requests without `bytes` in the query.
type workResponse struct {
	Target  string `json:"target"`
	Service string `json:"service"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	URI     string `json:"uri"`
	// Length and Checksum (CRC-32C) describe the request body.
	Length   int64  `json:"length"`
	Checksum uint32 `json:"checksum"`
}

// serve handles a request. The query may set `bytes` (the length of the response body, which is served with Range
// support) and `service-time`.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	current, changed := t.faults.get()
	if r.URL.Path == pathHealth {
		if current.StallProbes {
			waitForFaultChange(r, changed)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	id := r.Header.Get(headerRequestID)
	t.records.begin(id, r.Header.Get("Idempotency-Key"))
	completed := false
	defer func() { t.records.end(id, completed) }()
	if after, err := time.ParseDuration(r.Header.Get(headerCrash)); err == nil {
		// The target crashes even if the client disconnects.
		time.Sleep(after)
		t.config.Crash()
		resetConn(w)
		return
	}
	completed = t.handleRequest(w, r, current, changed)
}

// handleRequest serves a request with the injected fault and reports whether the run completed.
func (t *target) handleRequest(w http.ResponseWriter, r *http.Request, f fault, changed <-chan struct{}) bool {
	sum := crc32.New(crc32.MakeTable(crc32.Castagnoli))
	length, err := io.Copy(sum, r.Body)
	if err != nil {
		http.Error(w, "the body ended early", http.StatusBadRequest)
		return false
	}
	if f.Stall && !waitForFaultChange(r, changed) {
		return false
	}
	if !t.simulateWork(r, f) {
		return false
	}
	switch {
	case t.sampler.occurs(f.ErrorRatio):
		http.Error(w, "error on request of the control endpoint", http.StatusInternalServerError)
		return true
	case t.sampler.occurs(f.ResetRatio):
		resetConn(w)
		return false
	case r.URL.Query().Has("bytes"):
		return t.serveDownload(w, r, f, changed)
	}
	return t.writeResponse(w, r, f, workResponse{
		Target: t.config.ID, Service: t.config.Service, Request: r.Header.Get(headerRequestID),
		Key: r.Header.Get("Idempotency-Key"), Method: r.Method, URI: r.RequestURI, Length: length, Checksum: sum.Sum32(),
	})
}

func (t *target) simulateWork(r *http.Request, f fault) bool {
	d := t.sampler.serviceTime()
	if text := r.URL.Query().Get("service-time"); text != "" {
		if requested, err := time.ParseDuration(text); err == nil {
			d = requested
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

func (t *target) writeResponse(w http.ResponseWriter, r *http.Request, f fault, a workResponse) bool {
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, a.Request)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.TruncateAfter > 0 && f.TruncateAfter < int64(len(body)) {
		_, _ = w.Write(body[:f.TruncateAfter])
		resetConn(w)
		return false
	}
	_, err = w.Write(body)
	return err == nil
}

// serveDownload serves a body with Range support; its content depends only on the offset and is the same on all
// targets.
func (t *target) serveDownload(w http.ResponseWriter, r *http.Request, f fault, changed <-chan struct{}) bool {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "bytes must be a number", http.StatusBadRequest)
		return true
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Etag", fmt.Sprintf(`"standin-%d"`, size))
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if r.URL.Query().Has("chunked") {
		return t.writeChunked(&faultWriter{w: w, r: r, fault: f, changed: changed}, size)
	}
	out := &faultWriter{w: w, r: r, fault: f, changed: changed}
	http.ServeContent(out, r, "", time.Time{}, &pattern{size: size})
	return !out.aborted
}

func (t *target) writeChunked(out *faultWriter, size int64) bool {
	_, err := io.Copy(struct{ io.Writer }{out}, &pattern{size: size})
	return err == nil && !out.aborted
}

// pattern is an io.ReadSeeker whose bytes are computed from their offsets.
type pattern struct {
	size   int64
	offset int64
}

// patternByte returns the byte at the offset. The period is prime, so that a shifted body is detected.
func patternByte(offset int64) byte {
	return byte(offset % 251)
}

// Read implements io.Reader.
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

// patternBlock is the repeated pattern that Read copies from.
var patternBlock = func() []byte {
	period := make([]byte, 251)
	for i := range period {
		period[i] = patternByte(int64(i))
	}
	return bytes.Repeat(period, blockSize/251+2)
}()

// Seek implements io.Seeker.
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

// faultWriter truncates or stalls a response body after the number of bytes that the fault sets.
type faultWriter struct {
	w       http.ResponseWriter
	r       *http.Request
	fault   fault
	changed <-chan struct{}
	written int64
	aborted bool
}

// Header implements http.ResponseWriter.
func (f *faultWriter) Header() http.Header {
	return f.w.Header()
}

// WriteHeader implements http.ResponseWriter.
func (f *faultWriter) WriteHeader(status int) {
	f.w.WriteHeader(status)
}

// Write implements http.ResponseWriter and applies the fault.
func (f *faultWriter) Write(p []byte) (int, error) {
	if f.aborted {
		return 0, io.ErrClosedPipe
	}
	if limit := f.fault.TruncateAfter; limit > 0 && f.written+int64(len(p)) > limit {
		_, _ = f.w.Write(p[:limit-f.written])
		resetConn(f.w)
		f.aborted = true
		return 0, io.ErrClosedPipe
	}
	if limit := f.fault.StallAfter; limit > 0 && f.written+int64(len(p)) > limit {
		_ = http.NewResponseController(f.w).Flush()
		if !waitForFaultChange(f.r, f.changed) {
			f.aborted = true
			return 0, io.ErrClosedPipe
		}
	}
	n, err := f.w.Write(p)
	f.written += int64(n)
	return n, err
}

// waitForFaultChange blocks until the fault changes; it returns false if the client disconnected first.
func waitForFaultChange(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return r.Context().Err() == nil
	case <-r.Context().Done():
		return false
	}
}

// resetConn closes the TCP connection of the request with RST.
func resetConn(w http.ResponseWriter) {
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
