package relay

import (
	"errors"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// BlockBytes is the size of the blocks in which bodies are copied.
const BlockBytes = 32 << 10

// Trailers names the trailers that an agent sends after a body.
const Trailers = model.HeaderChecksum + ", " + model.HeaderLength

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	blocks     = sync.Pool{New: func() any { return new([BlockBytes]byte) }}
)

// Checksum counts the bytes of a body and computes their CRC-32C.
type Checksum struct {
	Length int64
	crc    uint32
}

// GetBlock returns a block for copying.
func GetBlock() *[BlockBytes]byte {
	block, _ := blocks.Get().(*[BlockBytes]byte)
	return block
}

// PutBlock returns the block for further use.
func PutBlock(block *[BlockBytes]byte) {
	blocks.Put(block)
}

// Add includes the bytes.
func (c *Checksum) Add(p []byte) {
	c.Length += int64(len(p))
	c.crc = crc32.Update(c.crc, castagnoli, p)
}

// WriteTrailer sets the trailers of a body that was sent whole.
func (c *Checksum) WriteTrailer(h http.Header) {
	h[model.HeaderLength] = []string{strconv.FormatInt(c.Length, 10)}
	h[model.HeaderChecksum] = []string{strconv.FormatUint(uint64(c.crc), 16)}
}

// Verify fails with ErrChecksum unless the trailer of the body matches.
func (c *Checksum) Verify(trailer http.Header) error {
	length := trailer.Get(model.HeaderLength)
	checksum := trailer.Get(model.HeaderChecksum)
	if length != strconv.FormatInt(c.Length, 10) || checksum != strconv.FormatUint(uint64(c.crc), 16) {
		return eris.Wrapf(ErrChecksum, "got %d bytes with %x, the trailer says %q bytes with %q", c.Length, c.crc, length,
			checksum)
	}
	return nil
}

// ReadBlock fills the block as far as bytes are there without waiting for more than the first; at the end of the body
// it returns io.EOF.
func ReadBlock(body io.Reader, block []byte) (int, error) {
	n, err := body.Read(block)
	if n > 0 && errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// DeadlineSlack is the time after the deadline of a request at which a peer that neither sends nor takes bytes is cut
// off. The deadline itself is reported in other ways first.
const DeadlineSlack = time.Second

// BodyAllowed reports whether an answer to the method may have a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
