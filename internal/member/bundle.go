package member

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// compressFrom is the encoded size from which a bundle is compressed, in bytes. Records name the same services, places
	// and fields again and again; a single one gains little.
	compressFrom = 1 << 10
	// maxBundle bounds a bundle after decompression, in bytes, so that hostile bytes cannot exhaust memory.
	maxBundle = 16 << 20
	// The first three bits of a CBOR value are its type.
	cborType, cborBytes = 0xe0, 0x40
)

// Bundle is a list of updates in a call; a large one travels as a byte string with DEFLATE.
type Bundle []Rumour

var compressors = sync.Pool{New: func() any { return must(flate.NewWriter(nil, flate.BestSpeed)) }}

// MarshalCBOR encodes the list, compressed if it is large.
func (b Bundle) MarshalCBOR() ([]byte, error) {
	plain, err := encoding.Marshal([]Rumour(b))
	if err != nil || len(plain) < compressFrom {
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

// UnmarshalCBOR decodes a list of either form; it returns ErrMalformed when the bytes are none.
func (b *Bundle) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0]&cborType == cborBytes {
		var err error
		if data, err = expand(data); err != nil {
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

func expand(data []byte) ([]byte, error) {
	var packed []byte
	if err := decoding.Unmarshal(data, &packed); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBundle+1))
	if err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if len(plain) > maxBundle {
		return nil, eris.Wrapf(ErrMalformed, "updates of more than %d bytes", maxBundle)
	}
	return plain, nil
}
