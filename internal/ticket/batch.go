package ticket

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxDecompressed bounds the size of decompressed data: twice the 8 MB of a ticket with as many and as long routes as
// the validation accepts, and an eighth of the memory that a node has for all control work.
const maxDecompressed = 16 << 20

var errTooLarge = eris.New("decompress: the data is larger than 16 MiB; remedy: split the tickets that produced it")

// gzipWriters are reused, because a new one allocates most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// wireBatch is the encoded form of BatchMsg; it omits the source, which the receiver knows.
type wireBatch struct {
	Snapshot *model.Configuration `cbor:"1,keyasint,omitempty"`
	Tickets  []model.Ticket       `cbor:"2,keyasint,omitempty"`
	Starting bool                 `cbor:"3,keyasint,omitempty"`
}

// Compress compresses data with gzip; equal data gives equal bytes within one version of the program.
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Decompress reverses Compress; it fails on corrupt data and on data above 16 MiB.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	unpacked, err := io.ReadAll(io.LimitReader(r, maxDecompressed+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(unpacked) > maxDecompressed {
		return nil, errTooLarge
	}
	return unpacked, nil
}

// EncodeBatch returns a batch in the compressed form that nodes exchange.
func EncodeBatch(b BatchMsg) ([]byte, error) {
	data, err := canonical.Marshal(wireBatch{Snapshot: b.Snapshot, Tickets: b.Tickets, Starting: b.Starting})
	if err != nil {
		return nil, eris.Wrap(err, "encode tickets")
	}
	return Compress(data), nil
}

// DecodeBatch decodes the result of EncodeBatch, received from the source.
func DecodeBatch(source Source, packed []byte) (BatchMsg, error) {
	data, err := Decompress(packed)
	if err != nil {
		return BatchMsg{}, err
	}
	var w wireBatch
	if err := cbor.Unmarshal(data, &w); err != nil {
		return BatchMsg{}, eris.Wrap(err, "decode tickets")
	}
	return BatchMsg{Source: source, Snapshot: w.Snapshot, Tickets: w.Tickets, Starting: w.Starting}, nil
}
