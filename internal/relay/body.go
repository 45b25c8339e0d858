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

// Trailers lists the trailers that an agent sends after a body.
const Trailers = model.HeaderChecksum + ", " + model.HeaderLength

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	blocks     = sync.Pool{New: func() any { return new([BlockBytes]byte) }}
)

// Checksum tracks the length of a body and its CRC-32C.
type Checksum struct {
	Length int64
	crc    uint32
}

// GetBlock returns a block from the pool.
func GetBlock() *[BlockBytes]byte {
	block, _ := blocks.Get().(*[BlockBytes]byte)
	return block
}

// PutBlock returns the block to the pool.
func PutBlock(block *[BlockBytes]byte) {
	blocks.Put(block)
}

// Add adds p to the length and the checksum.
func (c *Checksum) Add(p []byte) {
	c.Length += int64(len(p))
	c.crc = crc32.Update(c.crc, castagnoli, p)
}

// WriteTrailer sets the trailers of a body that was sent completely.
func (c *Checksum) WriteTrailer(h http.Header) {
	h[model.HeaderLength] = []string{strconv.FormatInt(c.Length, 10)}
	h[model.HeaderChecksum] = []string{strconv.FormatUint(uint64(c.crc), 16)}
}

// Verify fails with ErrChecksum unless the trailer matches the body.
func (c *Checksum) Verify(trailer http.Header) error {
	length := trailer.Get(model.HeaderLength)
	checksum := trailer.Get(model.HeaderChecksum)
	if length != strconv.FormatInt(c.Length, 10) || checksum != strconv.FormatUint(uint64(c.crc), 16) {
		return eris.Wrapf(ErrChecksum, "received %d bytes with checksum %x, the trailer states %q bytes with checksum %q",
			c.Length, c.crc, length, checksum)
	}
	return nil
}

// ReadBlock reads the available bytes into the block and waits only for the first one; at the end of the body it
// returns io.EOF.
func ReadBlock(body io.Reader, block []byte) (int, error) {
	n, err := body.Read(block)
	if n > 0 && errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// DeadlineSlack is the time after the deadline of a request at which a peer that neither sends nor receives bytes is
// disconnected. The deadline itself is reported by other means first.
const DeadlineSlack = time.Second

// BodyAllowed reports whether a response to the method with the status may have a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
