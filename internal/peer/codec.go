package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxFrame bounds the header or the body of a call or answer, in bytes.
	MaxFrame = 16 << 20
	// frameMACSize is the length of the truncated HMAC-SHA-256 of a frame, in bytes.
	frameMACSize = 16
	// frameLengthSize is the length of the size prefix of a frame, in bytes.
	frameLengthSize = 4
)

// frameConn reads and writes authenticated frames: length, truncated HMAC, payload.
//
// The HMAC covers the direction (by its key) and the frame's position, so frames cannot be replayed or reordered.
type frameConn struct {
	conn     net.Conn
	readKey  []byte
	writeKey []byte
	read     uint64
	written  uint64
	lastRead atomic.Int64
	// idle bounds the wait for the first byte of a frame; zero means no bound.
	idle time.Duration
}

type rpcHeader struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

// frameCodec implements rpc.ClientCodec and rpc.ServerCodec with CBOR in authenticated frames.
type frameCodec struct {
	*frameConn
	reject func(error)
}

type clientCodec struct{ frameCodec }

type serverCodec struct{ frameCodec }

var (
	_ rpc.ClientCodec = (*clientCodec)(nil)
	_ rpc.ServerCodec = (*serverCodec)(nil)
)

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writePair(rpcHeader{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h rpcHeader
	if err := c.readValue(&h); err != nil {
		return err
	}
	*r = rpc.Response{ServiceMethod: h.Method, Seq: h.Seq, Error: h.Error}
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.readValue(body) }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h rpcHeader
	if err := c.readValue(&h); err != nil {
		return err
	}
	*r = rpc.Request{ServiceMethod: h.Method, Seq: h.Seq}
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readValue(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = struct{}{}
	}
	return c.writePair(rpcHeader{Seq: r.Seq, Error: r.Error}, body)
}

// Close closes the connection.
func (c *frameCodec) Close() error { return c.conn.Close() }

// writePair sends header and body in one write.
func (c *frameCodec) writePair(header rpcHeader, body any) error {
	h, err := encoding.Marshal(header)
	if err != nil {
		return err
	}
	b, err := encoding.Marshal(body)
	if err != nil {
		return eris.Wrapf(err, "encode the body of %s", header.Method)
	}
	if len(h) > MaxFrame || len(b) > MaxFrame {
		return eris.Wrapf(ErrOversized, "%d bytes for %s", len(b), header.Method)
	}
	out := c.appendFrame(make([]byte, 0, len(h)+len(b)+2*(frameLengthSize+frameMACSize)), h)
	_, err = c.conn.Write(c.appendFrame(out, b))
	return err
}

// readValue decodes the next frame into the value; a nil value skips the frame.
func (c *frameCodec) readValue(value any) error {
	payload, err := c.readFrame()
	if err == nil && value != nil {
		if err = decoding.Unmarshal(payload, value); err != nil {
			err = eris.Wrap(ErrMalformed, err.Error())
		}
	}
	if err != nil {
		c.reject(err)
	}
	return err
}

func (f *frameConn) appendFrame(out, payload []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = append(out, frameMAC(f.writeKey, f.written, payload)...)
	f.written++
	return append(out, payload...)
}

func (f *frameConn) readFrame() ([]byte, error) {
	if f.idle > 0 {
		_ = f.conn.SetReadDeadline(time.Now().Add(f.idle))
	}
	var prefix [frameLengthSize + frameMACSize]byte
	if _, err := io.ReadFull(f.conn, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrame {
		return nil, eris.Wrapf(ErrOversized, "frame of %d bytes", size)
	}
	// The buffer grows with the bytes that arrive, so a forged length allocates nothing.
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, f.conn, int64(size)); err != nil {
		return nil, err
	}
	if !hmac.Equal(prefix[frameLengthSize:], frameMAC(f.readKey, f.read, payload.Bytes())) {
		return nil, eris.Wrap(ErrForged, "frame")
	}
	f.read++
	f.lastRead.Store(time.Now().UnixNano())
	return payload.Bytes(), nil
}

func frameMAC(key []byte, position uint64, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	var counter [8]byte
	binary.BigEndian.PutUint64(counter[:], position)
	mac.Write(counter[:])
	mac.Write(payload)
	return mac.Sum(nil)[:frameMACSize]
}

var (
	encoding = mustEncMode()
	decoding = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode bounds nesting and lengths, so that hostile bytes cannot exhaust memory.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsAllowed,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
