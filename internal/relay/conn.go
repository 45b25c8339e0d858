package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	bufferBytes = 16 << 10
	// maxHeaderBytes bounds the header of an answer, interim answers included.
	maxHeaderBytes = 256 << 10
	// bodyEndWait bounds the wait for the last bytes of a body after its answer.
	bodyEndWait = 50 * time.Millisecond
	// maxForeignAnswers and maxForeignBytes bound the answers of other requests that are dropped before the own one: a peer
	// sends a late second copy now and then, and one that sends more than that is broken.
	maxForeignAnswers = 8
	maxForeignBytes   = 4 << 20
)

var readers, writers sync.Pool

// Request is one request on a connection. URI and Host are sent as they are.
type Request struct {
	Method string
	URI    string
	Host   string
	// Header is the header of the request as net/http has read it. Headers of one hop, those of the fleet and those
	// named in Omit are left out; Fields are added.
	Header http.Header
	Omit   []string
	Fields []Field
	// Body is nil without a body. ContentLength -1 sends it chunked.
	Body          io.Reader
	ContentLength int64
	// ReusedHeaderTimeout and SilentAny bound the time without any byte from the peer before the answer starts; zero means
	// no bound. ReusedHeaderTimeout holds on a reused connection until its first byte.
	ReusedHeaderTimeout time.Duration
	HeaderTimeout       time.Duration
	// NoTimeoutAfterContinue lifts these bounds once a 100 answer has come: the request may run then, and an early end of the
	// exchange would only put its outcome in doubt.
	NoTimeoutAfterContinue bool
	// ExpectContinue sends the body only after a 100 answer, so that a refusal leaves the body untouched.
	ExpectContinue bool
	// Accept tells whether an answer belongs to the request; others are read to their end and dropped. Nil accepts all.
	Accept func(*http.Response) bool
	// InboundBody is set when Body reads from a server's request; its read is aborted when the connection ends before it.
	InboundBody *InboundBody
}

// Conn is a connection that carries one request at a time and sends each request exactly once.
type Conn struct {
	conn      net.Conn
	pool      *Pool
	limit     headerLimit
	reader    *bufio.Reader
	writer    *bufio.Writer
	reused    bool
	idleSince time.Time
	stop      func() bool
	request   *Request
	written   chan error
	// confirmed tells that the peer has asked for the body, so that the request may run.
	confirmed bool
	response  *http.Response
	// timed tells that the connection has a read deadline.
	timed bool
	raw   syscall.RawConn
	peek  func(fd uintptr) bool
	open  bool
}

// headerLimit bounds the bytes read for a header.
type headerLimit struct {
	conn net.Conn
	left int64
}

func newConn(conn net.Conn, p *Pool) *Conn {
	c := &Conn{conn: conn, pool: p, limit: headerLimit{conn: conn}}
	c.takeBuffers()
	c.raw = rawOf(conn)
	c.peek = c.peekFD
	return c
}

// takeBuffers takes memory for the next request. Idle connections hold none, because an edge keeps connections to
// hundreds of agents.
func (c *Conn) takeBuffers() {
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

// giveBuffers gives the memory back while the connection is idle and its buffers are empty.
func (c *Conn) giveBuffers() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readers.Put(c.reader)
	writers.Put(c.writer)
	c.reader, c.writer = nil, nil
}

// Read reads from the connection; it fails when the header is larger than the limit.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, eris.New("the header of the answer is too large; lower the headers that the target sends")
	}
	n, err := l.conn.Read(p)
	l.left -= int64(n)
	return n, err
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool {
	return c.reused
}

// RoundTrip sends the request and returns the answer once its header is read. It fails with ErrNotSent, ErrSilent,
// ErrBroken, ErrBody or the error of the context; the connection is closed then.
func (c *Conn) RoundTrip(ctx context.Context, r *Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	c.request = r
	c.stop = context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	response, err := c.exchange(r)
	if err == nil {
		c.response = response
		return response, nil
	}
	unconfirmed := r.ExpectContinue && !c.confirmed
	c.Close()
	if unconfirmed && !errors.Is(err, ErrNotSent) {
		return nil, eris.Wrapf(ErrNotAdmitted, "%v", err)
	}
	if cause := ctx.Err(); cause != nil && !errors.Is(err, ErrNotSent) {
		return nil, eris.Wrapf(ErrBroken, "%v", cause)
	}
	return nil, err
}

// Release returns the connection to its pool after the whole answer was read; otherwise it closes the connection.
func (c *Conn) Release() {
	if !c.finished() {
		c.Close()
		return
	}
	c.response = nil
	c.request = nil
	c.pool.put(c)
}

// Close closes the connection, which abandons the request on it. When it returns, the body of the request is no longer
// read.
func (c *Conn) Close() {
	if c.stop != nil {
		c.stop()
	}
	_ = c.conn.Close()
	if c.written == nil {
		return
	}
	if c.request.InboundBody != nil {
		c.request.InboundBody.abort()
	}
	<-c.written
	c.written = nil
}

// Buffered reports whether more bytes of the answer are there without waiting.
func (c *Conn) Buffered() bool {
	return c.reader.Buffered() > 0
}

// ReleaseUnused returns a connection that was not used to its pool.
func (c *Conn) ReleaseUnused() {
	c.pool.put(c)
}

// SetReadTimeout bounds the time until the next bytes of the body arrive; zero removes the bound.
func (c *Conn) SetReadTimeout(d time.Duration) {
	switch {
	case d > 0:
		c.timed = true
		_ = c.conn.SetReadDeadline(time.Now().Add(d))
	case c.timed:
		c.timed = false
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

func (c *Conn) finished() bool {
	unsent := c.request != nil && c.request.ExpectContinue && !c.confirmed
	if c.response == nil || c.response.Close || c.reader.Buffered() > 0 || unsent || !c.stop() {
		return false
	}
	c.SetReadTimeout(0)
	return c.bodySent()
}

// bodySent waits for the end of a body whose last bytes are on their way; the peer has answered already.
func (c *Conn) bodySent() bool {
	if c.written == nil {
		return true
	}
	if c.request.InboundBody != nil && !c.request.InboundBody.Ended() {
		return false
	}
	timer := time.NewTimer(bodyEndWait)
	defer timer.Stop()
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	case <-timer.C:
		return false
	}
}

func (c *Conn) exchange(r *Request) (*http.Response, error) {
	c.limit.left = maxHeaderBytes
	c.confirmed = false
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

func (c *Conn) startBody(r *Request) {
	c.written = make(chan error, 1)
	go c.writeBody(r, c.written)
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

// writeBody runs beside the reader, because the peer may answer before it has the whole body.
func (c *Conn) writeBody(r *Request, written chan<- error) {
	err := c.copyBody(r)
	if err == nil {
		err = c.writer.Flush()
	}
	written <- err
	if errors.Is(err, ErrBody) {
		// The peer must not take the body as complete, and waits for the rest of it.
		_ = c.conn.Close()
	}
}

func (c *Conn) copyBody(r *Request) error {
	var target io.Writer = c.writer
	body := &errorReader{reader: r.Body}
	if r.ContentLength < 0 {
		chunked := httputil.NewChunkedWriter(flushWriter{c.writer})
		if _, err := io.Copy(chunked, body); err != nil {
			return body.kind(err)
		}
		if err := chunked.Close(); err != nil {
			return err
		}
		_, err := c.writer.WriteString("\r\n")
		return err
	}
	if _, err := io.CopyN(target, body, r.ContentLength); err != nil {
		return body.kind(err)
	}
	return nil
}

// flushWriter sends each piece of a body at once, because its sender may wait for an answer to it.
type flushWriter struct {
	*bufio.Writer
}

// Write writes and flushes.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.Flush()
}

// errorReader remembers that reading failed, to tell it from a failed write.
type errorReader struct {
	reader io.Reader
	failed bool
}

// Read reads from the body.
func (e *errorReader) Read(p []byte) (int, error) {
	n, err := e.reader.Read(p)
	e.failed = err != nil
	return n, err
}

func (e *errorReader) kind(err error) error {
	if e.failed {
		return eris.Wrapf(ErrBody, "%v", err)
	}
	return err
}

func (c *Conn) readResponse(r *Request) (*http.Response, error) {
	silent := r.HeaderTimeout
	if c.reused && r.ReusedHeaderTimeout > 0 {
		silent = r.ReusedHeaderTimeout
	}
	foreign := foreignAnswers{}
	for {
		response, err := c.readHeader(r, silent)
		if err != nil {
			return nil, c.readError(err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrBroken, "the peer switched protocols, which nobody asked for")
		}
		if response.StatusCode >= http.StatusOK {
			c.limit.left = 1 << 62
			if r.Accept == nil || r.Accept(response) {
				return response, nil
			}
			if err := c.dropAnswer(response, &foreign); err != nil {
				return nil, err
			}
			continue
		}
		silent = r.HeaderTimeout
		if response.StatusCode == http.StatusContinue && r.ExpectContinue && !c.confirmed {
			c.confirmed = true
			c.startBody(r)
		}
		if r.NoTimeoutAfterContinue && c.confirmed {
			silent = 0
		}
	}
}

// foreignAnswers counts what a peer sent of other requests during one exchange.
type foreignAnswers struct {
	answers int
	bytes   int64
}

// dropAnswer reads an answer of another request to its end, so that the next one on the connection can be read.
func (c *Conn) dropAnswer(response *http.Response, foreign *foreignAnswers) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return eris.Wrapf(ErrBroken, "%s: the connection ends with the answer of another request", c.pool.config.Address)
	}
	foreign.answers++
	n, err := io.CopyN(io.Discard, response.Body, maxForeignBytes+1-foreign.bytes)
	foreign.bytes += n
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return c.readError(err)
	case foreign.answers > maxForeignAnswers || foreign.bytes > maxForeignBytes:
		return eris.Wrapf(ErrBroken, "%s: answers of other requests without end", c.pool.config.Address)
	}
	c.limit.left = maxHeaderBytes
	return nil
}

func (c *Conn) readHeader(r *Request, silent time.Duration) (*http.Response, error) {
	c.SetReadTimeout(silent)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: r.Method})
}

func (c *Conn) readError(err error) error {
	if c.written != nil {
		select {
		case cause := <-c.written:
			c.written = nil
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

// alive reports whether an idle connection is still open and has nothing to read. A closed connection would otherwise
// leave the outcome of the next request in doubt.
func (c *Conn) alive() bool {
	if c.raw == nil {
		return true
	}
	err := c.raw.Read(c.peek)
	return err == nil && c.open
}

// peekFD looks whether the peer has sent or closed, without taking anything.
func (c *Conn) peekFD(fd uintptr) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.open = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
	return true
}

// rawOf returns the socket under the connection, or nil when it has none.
func rawOf(conn net.Conn) syscall.RawConn {
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
