package member

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// minCompressSize is the encoded size from which a batch is compressed, in bytes. Records repeat the names of
	// services, failure domains and fields, so several of them compress well; a single one gains little.
	minCompressSize = 1 << 10
	// maxBatchSize bounds a batch after decompression, in bytes, so that malicious input cannot exhaust memory.
	maxBatchSize = 16 << 20
	// cborType masks the major type in the first byte of a CBOR value; cborBytes is the major type of a byte string.
	cborType, cborBytes = 0xe0, 0x40
)

// RumourBatch is a list of rumours in an RPC; a large one is encoded as a byte string compressed with DEFLATE.
type RumourBatch []Rumour

var compressors = sync.Pool{New: func() any { return must(flate.NewWriter(nil, flate.BestSpeed)) }}

// MarshalCBOR encodes the batch, compressed when its encoding has at least minCompressSize bytes.
func (b RumourBatch) MarshalCBOR() ([]byte, error) {
	plain, err := encoding.Marshal([]Rumour(b))
	if err != nil || len(plain) < minCompressSize {
		return plain, err
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compress updates")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress updates")
	}
	return encoding.Marshal(out.Bytes())
}

// UnmarshalCBOR decodes a batch in plain or compressed form; it returns ErrMalformed for invalid input.
func (b *RumourBatch) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0]&cborType == cborBytes {
		var err error
		if data, err = decompress(data); err != nil {
			return err
		}
	}
	var list []Rumour
	if err := decoding.Unmarshal(data, &list); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	*b = list
	return nil
}

func decompress(data []byte) ([]byte, error) {
	var packed []byte
	if err := decoding.Unmarshal(data, &packed); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBatchSize+1))
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if len(plain) > maxBatchSize {
		return nil, eris.Wrapf(ErrMalformed, "updates of more than %d bytes", maxBatchSize)
	}
	return plain, nil
}
