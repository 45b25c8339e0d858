package peer

import (
	"bufio"
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
	// MaxFrame bounds the header and the body of a request or response, in bytes.
	MaxFrame = 16 << 20
	// frameMACSize is the length of the truncated HMAC-SHA-256 of a frame, in bytes.
	frameMACSize = 16
	// frameLengthSize is the length of the size prefix of a frame, in bytes.
	frameLengthSize = 4
)

// writeTimeout bounds writing a frame to a node that stops reading.
const writeTimeout = 5 * time.Second

// requestBody is an encoded body that records whether any part of it may have been sent.
type requestBody struct {
	payload []byte
	sent    atomic.Bool
}

// replyBody receives a body without decoding it, so that a late response does not write to variables of a caller that
// has returned.
type replyBody struct{ payload []byte }

// frameConn reads and writes authenticated frames: length, truncated HMAC, payload.
//
// The HMAC covers the direction, through its key, and the position of the frame, so frames cannot be replayed or
// reordered.
type frameConn struct {
	conn     net.Conn
	reader   *bufio.Reader
	readKey  []byte
	writeKey []byte
	read     uint64
	written  uint64
	lastRead atomic.Int64
	// idle bounds the wait for incoming bytes.
	idle time.Duration
}

// timedReader records when bytes arrive and bounds the wait for them.
type timedReader struct{ *frameConn }

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

func (c *clientCodec) ReadResponseBody(body any) error {
	raw, ok := body.(*replyBody)
	if !ok {
		return c.readValue(body)
	}
	payload, err := c.readFrame()
	if err != nil {
		c.reject(err)
	}
	raw.payload = payload
	return err
}

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

func (c *frameCodec) Close() error { return c.conn.Close() }

// writePair sends header and body in a single write.
func (c *frameCodec) writePair(header rpcHeader, body any) error {
	h, err := encoding.Marshal(header)
	if err != nil {
		return err
	}
	encoded, ok := body.(*requestBody)
	if !ok {
		if encoded, err = encodeBody(header.Method, body); err != nil {
			return err
		}
	}
	encoded.sent.Store(true)
	size := len(h) + len(encoded.payload) + 2*(frameLengthSize+frameMACSize)
	out := c.appendFrame(make([]byte, 0, size), h)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = c.conn.Write(c.appendFrame(out, encoded.payload))
	return err
}

// encodeBody encodes a body; it fails with ErrOversized above MaxFrame.
func encodeBody(method string, body any) (*requestBody, error) {
	payload, err := encoding.Marshal(body)
	if err != nil {
		return nil, eris.Wrapf(err, "encode the body of %s", method)
	}
	if len(payload) > MaxFrame {
		return nil, eris.Wrapf(ErrOversized, "%d bytes for %s", len(payload), method)
	}
	return &requestBody{payload: payload}, nil
}

// readValue decodes the next frame into value, or skips the frame when value is nil.
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

func newFrameConn(conn net.Conn, readKey, writeKey []byte, idle time.Duration) *frameConn {
	f := &frameConn{conn: conn, readKey: readKey, writeKey: writeKey, idle: idle}
	f.reader = bufio.NewReader(timedReader{f})
	f.lastRead.Store(time.Now().UnixNano())
	return f
}

func (r timedReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(r.idle))
	n, err := r.conn.Read(p)
	if n > 0 {
		r.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (f *frameConn) appendFrame(out, payload []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = append(out, frameMAC(f.writeKey, f.written, payload)...)
	f.written++
	return append(out, payload...)
}

func (f *frameConn) readFrame() ([]byte, error) {
	var prefix [frameLengthSize + frameMACSize]byte
	if _, err := io.ReadFull(f.reader, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrame {
		return nil, eris.Wrapf(ErrOversized, "frame of %d bytes", size)
	}
	// The buffer grows as bytes arrive, so a forged length does not allocate memory.
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, f.reader, int64(size)); err != nil {
		return nil, err
	}
	if !hmac.Equal(prefix[frameLengthSize:], frameMAC(f.readKey, f.read, payload.Bytes())) {
		return nil, eris.Wrap(ErrForged, "frame")
	}
	f.read++
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

// mustDecMode limits nesting and lengths, so that malicious input cannot exhaust memory.
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
