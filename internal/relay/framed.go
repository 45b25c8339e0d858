package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/syntax"
)

const (
	// maxChunkDigits limits a chunk size to what a signed number holds.
	maxChunkDigits = 15
	// maxExtensionBytes limits the chunk extensions of a body together; they carry nothing for this client.
	maxExtensionBytes = 4 << 10
)

// framedBody is a body whose end does not depend on that of the connection.
type framedBody interface {
	// ended reports whether all of the body has been read, so that the next response may follow.
	ended() bool
}

// lengthBody is a body of a stated length.
type lengthBody struct {
	reader *bufio.Reader
	left   int64
}

// chunkedBody is a body in chunks; it sets the trailer of the response at its end.
type chunkedBody struct {
	reader   *bufio.Reader
	response *http.Response
	// left is the rest of the current chunk.
	left int64
	// started is set once the first chunk has begun, so that a line break precedes the next one.
	started    bool
	extensions int
	// err is what ended the body; it is io.EOF after a whole one.
	err error
}

// Read reads from the body; it fails with io.ErrUnexpectedEOF if the connection ends first.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		return n, io.EOF
	}
	return n, unexpected(err)
}

// Close does nothing: a connection whose body has not ended is closed.
func (b *lengthBody) Close() error { return nil }

func (b *lengthBody) ended() bool { return b.left == 0 }

// Read reads the chunks that have arrived and waits only for the first one; it fails if the framing or the trailer is
// malformed.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for n < len(p) && b.err == nil {
		if n > 0 && !b.arrived() {
			return n, nil
		}
		if b.left == 0 {
			b.err = b.nextChunk()
			continue
		}
		read, err := b.reader.Read(p[n : n+int(min(int64(len(p)-n), b.left))])
		n += read
		b.left -= int64(read)
		b.err = unexpected(err)
	}
	return n, b.err
}

// Close does nothing: a connection whose body has not ended is closed.
func (b *chunkedBody) Close() error { return nil }

func (b *chunkedBody) ended() bool { return errors.Is(b.err, io.EOF) }

// arrived reports whether more of the body can be read without waiting.
func (b *chunkedBody) arrived() bool {
	if b.left > 0 {
		return b.reader.Buffered() > 0
	}
	next, _ := b.reader.Peek(b.reader.Buffered()) // It never fails for bytes that are buffered.
	if len(next) <= len("\r\n") {
		return false
	}
	if next = next[len("\r\n"):]; next[0] == '0' {
		return bytes.Contains(next, []byte("\r\n\r\n")) // It may be the last chunk, which the trailer follows.
	}
	return bytes.IndexByte(next, '\n') >= 0
}

// nextChunk reads the line that begins a chunk; it returns io.EOF after the last one and its trailer.
func (b *chunkedBody) nextChunk() error {
	if err := b.endChunk(); err != nil {
		return err
	}
	line, err := readLine(b.reader, maxExtensionBytes)
	if err != nil {
		return err
	}
	digits := 0
	for ; digits < len(line) && hexDigit(line[digits]) >= 0; digits++ {
		b.left = b.left<<4 + hexDigit(line[digits])
	}
	extension := bytes.TrimLeft(line[digits:], " \t")
	b.extensions += len(line) - digits
	switch {
	case digits == 0 || digits > maxChunkDigits || digits < len(line) && !bytes.HasPrefix(extension, []byte(";")) || !syntax.IsValue(extension):
		return eris.Wrapf(syntax.ErrGrammar, "chunk line %.40q", line)
	case b.extensions > maxExtensionBytes:
		return eris.Wrap(syntax.ErrGrammar, "too many chunk extensions")
	case b.left > 0:
		return nil
	}
	trailer, err := readFields(b.reader, maxTrailerBytes)
	if err != nil {
		return err
	}
	if trailer["Content-Length"] != nil || trailer["Transfer-Encoding"] != nil {
		return eris.Wrap(syntax.ErrGrammar, "a trailer that states where the body ends")
	}
	b.response.Trailer = trailer
	return io.EOF
}

// endChunk reads the line break after a chunk.
func (b *chunkedBody) endChunk() error {
	if !b.started {
		b.started = true
		return nil
	}
	for _, want := range []byte("\r\n") {
		c, err := b.reader.ReadByte()
		if err != nil {
			return unexpected(err)
		}
		if c != want {
			return eris.Wrap(syntax.ErrGrammar, "a chunk that does not end where it should")
		}
	}
	return nil
}

// hexDigit returns the value of the digit, or -1 for other bytes.
func hexDigit(c byte) int64 {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0')
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10
	default:
		return -1
	}
}

// unexpected replaces the end of the connection by an error.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
