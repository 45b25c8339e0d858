package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	bufferBytes = 16 << 10
	// maxHeaderBytes limits the header of a response, including interim responses.
	maxHeaderBytes = 256 << 10
	// maxStaleResponses and maxStaleBytes limit the responses to other requests that are discarded before the expected
	// one: a peer occasionally sends a late duplicate, and one that sends more than that is broken.
	maxStaleResponses = 8
	maxStaleBytes     = 4 << 20
	// maxDiscardBytes and discardTimeout limit the reading of a body that is of no use; the refusals of targets and agents
	// are short.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
)

var readers, writers sync.Pool

// Request is one request on a connection. URI and Host are sent verbatim.
type Request struct {
	Method string
	URI    string
	Host   string
	// Header is the request header as read by net/http. Hop-by-hop headers, those of the fleet and those listed in Omit
	// are left out; Fields are added.
	Header http.Header
	Omit   []string
	Fields []Field
	// Body is nil for a request without a body. A ContentLength of -1 sends it chunked.
	Body          io.Reader
	ContentLength int64
	// ReusedHeaderTimeout and HeaderTimeout limit the wait for each response header, interim responses included; zero
	// means no limit. ReusedHeaderTimeout applies on a reused connection until the first interim
	// response.
	ReusedHeaderTimeout time.Duration
	HeaderTimeout       time.Duration
	// NoTimeoutAfterContinue removes these limits once a 100 response has arrived: the request may be running then, and
	// ending the exchange early would only make its outcome unknown.
	NoTimeoutAfterContinue bool
	// ExpectContinue sends the body only after a 100 response, so that a refusal leaves the body unread.
	ExpectContinue bool
	// StopAdmission ends the exchange when it is canceled before a 100 response has arrived; the request has not run then. Nil
	// never does.
	StopAdmission context.Context
	// Accept reports whether a response belongs to the request; others are read to their end and discarded. Nil accepts
	// all.
	Accept func(*http.Response) bool
	// InboundBody is set if Body reads from a server's request; a pending read is aborted when the connection ends
	// first.
	InboundBody *InboundBody
}

// Conn is a client connection that carries one request at a time and sends each request exactly once.
type Conn struct {
	conn       net.Conn
	pool       *Pool
	limit      headerReader
	reader     *bufio.Reader
	writer     *bufio.Writer
	reused     bool
	idleSince  time.Time
	stopCancel func() bool
	request    *Request
	bodyDone   chan error
	admission  atomic.Uint32
	response   *http.Response
	// body is the body of the response, or nil if it is empty or ends with the connection.
	body framedBody
	// hasDeadline is set if the connection has a read deadline.
	hasDeadline bool
	raw         syscall.RawConn
	peek        func(fd uintptr) bool
	peerOpen    bool
}

// headerReader limits the bytes read for a header.
type headerReader struct {
	conn net.Conn
	left int64
}

func newConn(conn net.Conn, p *Pool) *Conn {
	c := &Conn{conn: conn, pool: p, limit: headerReader{conn: conn}}
	c.acquireBuffers()
	c.raw = rawConnOf(conn)
	c.peek = c.peekFD
	return c
}

// acquireBuffers takes buffers for the next request from the pools. Idle connections hold none, because an edge keeps
// connections to hundreds of agents.
func (c *Conn) acquireBuffers() {
	var ok bool
	if c.reader, ok = readers.Get().(*bufio.Reader); !ok {
		c.reader = bufio.NewReaderSize(nil, bufferBytes)
	}
	if c.writer, ok = writers.Get().(*bufio.Writer); !ok {
		c.writer = bufio.NewWriterSize(nil, bufferBytes)
	}
	c.reader.Reset(&c.limit)
	c.writer.Reset(c.conn)
}

// releaseBuffers returns the empty buffers to the pools while the connection is idle.
func (c *Conn) releaseBuffers() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readers.Put(c.reader)
	writers.Put(c.writer)
	c.reader, c.writer = nil, nil
}

// Read reads from the connection; it fails if the header exceeds the limit.
func (l *headerReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, eris.New("response header too large; reduce the headers that the target sends")
	}
	n, err := l.conn.Read(p)
	l.left -= int64(n)
	return n, err
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool {
	return c.reused
}

// RoundTrip sends the request and returns the response once its header is read. It fails with ErrNotSent,
// ErrNotAdmitted, ErrTimeout, ErrBroken or ErrBody and closes the connection then.
func (c *Conn) RoundTrip(ctx context.Context, r *Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	c.request = r
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	c.admission.Store(admissionPending)
	if r.StopAdmission != nil && r.ExpectContinue {
		defer context.AfterFunc(r.StopAdmission, c.stopAdmission)()
	}
	response, err := c.exchange(r)
	if err == nil {
		c.response = response
		return response, nil
	}
	notAdmitted := r.ExpectContinue && !c.isAdmitted()
	c.Close()
	if notAdmitted && !errors.Is(err, ErrNotSent) {
		return nil, eris.Wrapf(ErrNotAdmitted, "%v", err)
	}
	if cause := ctx.Err(); cause != nil && !errors.Is(err, ErrNotSent) {
		return nil, eris.Wrapf(ErrBroken, "%v", cause)
	}
	return nil, err
}

// Release returns the connection to its pool if the whole response was read; otherwise it closes the connection.
func (c *Conn) Release() {
	if !c.reusable() {
		c.Close()
		return
	}
	c.response = nil
	c.request = nil
	c.pool.put(c)
}

// Discard reads the body of a response that is of no use, so that the connection can carry the next request. A long or
// slow body is abandoned with its connection, because the request waits for the next decision and the body may never end.
func (c *Conn) Discard(response *http.Response) {
	c.SetReadTimeout(discardTimeout)
	if _, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes+1); !errors.Is(err, io.EOF) {
		c.Close()
		return
	}
	c.Release()
}

// Close closes the connection, which abandons the request on it. After it returns, the body of the request is no longer
// read.
func (c *Conn) Close() {
	if c.stopCancel != nil {
		c.stopCancel()
	}
	_ = c.conn.Close()
	if c.bodyDone == nil {
		return
	}
	if c.request.InboundBody != nil {
		c.request.InboundBody.abort()
	}
	<-c.bodyDone
	c.bodyDone = nil
}

// Buffered reports whether more bytes of the response are available without waiting.
func (c *Conn) Buffered() bool {
	return c.reader.Buffered() > 0
}

// BufferedAll reports whether the whole body of the response can be read without waiting.
func (c *Conn) BufferedAll(response *http.Response) bool {
	return response.ContentLength >= 0 && int64(c.reader.Buffered()) >= response.ContentLength
}

// ReleaseUnused returns a connection that was not used to its pool.
func (c *Conn) ReleaseUnused() {
	c.pool.put(c)
}

// SetReadTimeout limits the time until the next bytes of the body arrive; zero removes the limit.
func (c *Conn) SetReadTimeout(d time.Duration) {
	switch {
	case d > 0:
		c.hasDeadline = true
		_ = c.conn.SetReadDeadline(time.Now().Add(d))
	case c.hasDeadline:
		c.hasDeadline = false
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

func (c *Conn) reusable() bool {
	unsent := c.request != nil && c.request.ExpectContinue && !c.isAdmitted()
	if c.response == nil || c.response.Close || !c.bodyEnded() || c.reader.Buffered() > 0 || unsent || !c.stopCancel() {
		return false
	}
	c.SetReadTimeout(0)
	return c.bodySent()
}

// bodyEnded reports whether nothing of the response is still to come.
func (c *Conn) bodyEnded() bool {
	return c.body == nil || c.body.ended()
}

func (c *Conn) exchange(r *Request) (*http.Response, error) {
	c.limit.left = maxHeaderBytes
	c.writeHeader(r)
	if r.ExpectContinue || r.Body == nil || r.ContentLength == 0 {
		return c.readAfterWrite(r, c.writer.Flush())
	}
	if r.ContentLength > 0 && r.ContentLength <= int64(c.writer.Available()) {
		if _, err := io.CopyN(c.writer, r.Body, r.ContentLength); err != nil {
			return nil, eris.Wrapf(ErrBody, "%v", err)
		}
		return c.readAfterWrite(r, c.writer.Flush())
	}
	c.startBody(r)
	return c.readResponse(r)
}

func (c *Conn) readAfterWrite(r *Request, err error) (*http.Response, error) {
	if err != nil {
		return nil, eris.Wrapf(ErrBroken, "write: %v", err)
	}
	return c.readResponse(r)
}

func (c *Conn) writeHeader(r *Request) {
	w := c.writer
	for _, part := range [...]string{r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		_, _ = w.WriteString(part)
	}
	switch {
	case r.Body != nil && r.ContentLength < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		var digits [20]byte
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(digits[:0], r.ContentLength, 10))
		_, _ = w.WriteString("\r\n")
	}
	if r.ExpectContinue {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	writeHeader(w, r.Header, r.Omit, r.Fields)
	_, _ = w.WriteString("\r\n")
}

func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	timeout := r.HeaderTimeout
	if c.reused && r.ReusedHeaderTimeout > 0 {
		timeout = r.ReusedHeaderTimeout
	}
	stale := staleResponses{}
	for {
		response, err := c.readHeader(r, timeout)
		if err != nil {
			return nil, c.readError(err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrBroken, "peer switched protocols without a request to do so")
		}
		if response.StatusCode >= http.StatusOK {
			c.limit.left = 1 << 62
			if r.Accept == nil || r.Accept(response) {
				if endsWithConn(response) {
					response.Body = &unframedBody{ReadCloser: response.Body, conn: c}
				}
				return response, nil
			}
			if err := c.discardStale(response, &stale); err != nil {
				return nil, err
			}
			continue
		}
		timeout = r.HeaderTimeout
		if response.StatusCode == http.StatusContinue && r.ExpectContinue && c.admission.CompareAndSwap(admissionPending, admissionGranted) {
			c.startBody(r)
		}
		if r.NoTimeoutAfterContinue && c.isAdmitted() {
			timeout = 0
		}
	}
}

// staleResponses counts the responses to other requests that a peer sent during one exchange.
type staleResponses struct {
	count int
	bytes int64
}

// discardStale reads a response to another request to its end, so that the next one on the connection can be read.
func (c *Conn) discardStale(response *http.Response, stale *staleResponses) error {
	if response.Close || endsWithConn(response) {
		return eris.Wrapf(ErrBroken, "%s: the connection ends with the response to another request", c.pool.config.Address)
	}
	stale.count++
	n, err := io.CopyN(io.Discard, response.Body, maxStaleBytes+1-stale.bytes)
	stale.bytes += n
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return c.readError(err)
	case stale.count > maxStaleResponses || stale.bytes > maxStaleBytes:
		return eris.Wrapf(ErrBroken, "%s: too many responses to other requests", c.pool.config.Address)
	}
	c.limit.left = maxHeaderBytes
	return nil
}

func (c *Conn) readHeader(r *Request, timeout time.Duration) (*http.Response, error) {
	c.SetReadTimeout(timeout)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	response, err := readResponse(c.reader, r.Method)
	if err != nil {
		return nil, err
	}
	c.body, _ = response.Body.(framedBody)
	return response, nil
}

func (c *Conn) readError(err error) error {
	if c.bodyDone != nil {
		select {
		case cause := <-c.bodyDone:
			c.bodyDone = nil
			if errors.Is(cause, ErrBody) {
				return cause
			}
		default:
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return eris.Wrap(ErrTimeout, c.pool.config.Address)
	}
	return eris.Wrapf(ErrBroken, "%s: %v", c.pool.config.Address, err)
}

// alive reports whether an idle connection is still open and has nothing to read. Sending on a closed connection would
// leave the outcome of the request unknown.
func (c *Conn) alive() bool {
	if c.raw == nil {
		return true
	}
	err := c.raw.Read(c.peek)
	return err == nil && c.peerOpen
}

// peekFD checks whether the peer has sent data or closed the connection, without consuming any data.
func (c *Conn) peekFD(fd uintptr) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.peerOpen = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
	return true
}

// rawConnOf returns the socket underlying the connection, or nil if it has none.
func rawConnOf(conn net.Conn) syscall.RawConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn() // TLS
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
