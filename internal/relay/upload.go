package relay

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/rotisserie/eris"
)

// bodyEndTimeout limits the wait for the last bytes of a request body after its response.
const bodyEndTimeout = 50 * time.Millisecond

// flushWriter sends each piece of a body at once, because its sender may wait for a response to it.
type flushWriter struct {
	*bufio.Writer
}

// errorReader records why reading ended, to distinguish a failed read from a failed write.
type errorReader struct {
	reader io.Reader
	err    error
}

// bodySent waits until the last bytes of the request body are sent; the peer has responded already.
func (c *Conn) bodySent() bool {
	if c.bodyDone == nil {
		return true
	}
	if c.request.InboundBody != nil && !c.request.InboundBody.Ended() {
		return false
	}
	timer := time.NewTimer(bodyEndTimeout)
	defer timer.Stop()
	select {
	case err := <-c.bodyDone:
		c.bodyDone = nil
		return err == nil
	case <-timer.C:
		return false
	}
}

func (c *Conn) startBody(r *Request) {
	c.bodyDone = make(chan error, 1)
	go c.writeBody(r, c.bodyDone)
}

// writeBody runs concurrently with the reader, because the peer may respond before it has the whole body.
func (c *Conn) writeBody(r *Request, done chan<- error) {
	err := c.copyBody(r)
	if err == nil {
		err = c.writer.Flush()
	}
	done <- err
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
			return body.classify(err)
		}
		if err := chunked.Close(); err != nil {
			return err
		}
		_, err := c.writer.WriteString("\r\n")
		return err
	}
	if _, err := io.CopyN(target, body, r.ContentLength); err != nil {
		return body.classify(err)
	}
	return nil
}

// Write writes and flushes.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.Flush()
}

// Read reads from the body.
func (e *errorReader) Read(p []byte) (int, error) {
	n, err := e.reader.Read(p)
	e.err = err
	return n, err
}

// classify marks the error of a copy as ErrBody if it is that of the reader. A write may fail after the last read, which
// has returned io.EOF then.
func (e *errorReader) classify(err error) error {
	if e.err != nil && errors.Is(err, e.err) {
		return eris.Wrapf(ErrBody, "%v", err)
	}
	return err
}
