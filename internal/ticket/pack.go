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

// maxUnpacked bounds what compressed data may expand to: twice the 8 MB of a ticket with as many and as long routes as
// the validation accepts, an eighth of what a node has for all control work.
const maxUnpacked = 16 << 20

var errUnpackedSize = eris.New("unpack: the data is larger than 16 MiB; remedy: split the tickets that produced it")

// writers are reused, because a new one allocates most of a megabyte.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// wireBatch is a batch between nodes; the receiver knows the source.
type wireBatch struct {
	Snapshot *model.Configuration `cbor:"1,keyasint,omitempty"`
	Tickets  []model.Ticket       `cbor:"2,keyasint,omitempty"`
	Starting bool                 `cbor:"3,keyasint,omitempty"`
}

// Compress compresses encoded data; equal data gives equal bytes within one version of the program.
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Decompress reverses Pack; it fails on damaged data and on data above 16 MiB.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	unpacked, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	if len(unpacked) > maxUnpacked {
		return nil, errUnpackedSize
	}
	return unpacked, nil
}

// EncodeBatch returns tickets and snapshot in the compressed form in which nodes exchange them.
func EncodeBatch(b BatchMsg) ([]byte, error) {
	data, err := canonical.Marshal(wireBatch{Snapshot: b.Snapshot, Tickets: b.Tickets, Starting: b.Starting})
	if err != nil {
		return nil, eris.Wrap(err, "encode tickets")
	}
	return Compress(data), nil
}

// DecodeBatch reads the bytes of EncodeBatch that came from the source.
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
