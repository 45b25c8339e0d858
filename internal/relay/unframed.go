package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// unframedBody is a response body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// endsWithConn reports whether only the end of the connection marks the end of the body.
func endsWithConn(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// Read reads from the body; it fails with ErrBroken instead of io.EOF if the connection was reset.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := b.conn.endBody(); cause != nil {
		return n, eris.Wrapf(ErrBroken, "the connection was reset while the request was written: %v", cause)
	}
	return n, err
}

// endBody stops the writer of the request body and returns the error with which the connection failed under it. The
// kernel reports a reset only once: if the writer receives it, the reader gets io.EOF as after an orderly end.
func (c *Conn) endBody() error {
	if c.bodyDone == nil {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now()) // On a closed connection, the writer ends by itself.
	if c.request.InboundBody != nil {
		c.request.InboundBody.abort()
	}
	err := <-c.bodyDone
	c.bodyDone = nil
	if errors.Is(err, ErrBody) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
