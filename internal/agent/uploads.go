package agent

import (
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// errUploads means that the target would get more bytes of bodies at once than it may.
var errUploads = eris.New("the requests at the target hold too many bytes; send the length of the body or try again later")

// uploads bounds the bytes of request bodies that one target gets at once, because it holds them in memory. A single
// request always passes: the oldest one may exceed the bound.
type uploads struct {
	mu      sync.Mutex
	limit   int64
	sum     int64
	running []*upload
}

// upload is the body of one request at the target.
type upload struct {
	all  *uploads
	held int64
}

// uploadReader accounts for a body whose length is not known in advance.
type uploadReader struct {
	io.Reader
	upload *upload
}

// begin reserves the length of a body, or nothing if it is negative; it returns false if the request must not start.
// A request without a body has no upload.
func (s *uploads) begin(limit, length int64) (*upload, bool) {
	if length == 0 {
		return nil, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	length = max(0, length)
	if limit > 0 && len(s.running) > 0 && s.sum+length > limit {
		return nil, false
	}
	u := &upload{all: s, held: length}
	s.sum += length
	s.running = append(s.running, u)
	return u, true
}

// grow accounts for further bytes; it returns false if the request must be cut off.
func (u *upload) grow(n int) bool {
	s := u.all
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && s.sum+int64(n) > s.limit && s.running[0] != u {
		return false
	}
	s.sum += int64(n)
	u.held += int64(n)
	return true
}

// end releases the bytes; a nil upload has none.
func (u *upload) end() {
	if u == nil {
		return
	}
	s := u.all
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum -= u.held
	if i := slices.Index(s.running, u); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
}

// Read reads from the body.
func (r *uploadReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.upload.grow(n) {
		return 0, errUploads
	}
	return n, err
}
