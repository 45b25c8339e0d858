package member

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// keySize is the length of a key in a packed list of heads, in bytes.
const keySize = 8

// Head is the version of a record without the record.
type Head struct {
	Key     uint64
	Version uint64
	Content uint64
	Status  Status
}

// Heads is a list of heads. It travels as one byte string with some 11 bytes for each, where maps would take 23: the key,
// the version, by how much the content is older, and the status.
type Heads []Head

// MarshalCBOR encodes the list.
func (h Heads) MarshalCBOR() ([]byte, error) {
	packed := make([]byte, 0, len(h)*(keySize+4))
	for i := range h {
		packed = binary.BigEndian.AppendUint64(packed, h[i].Key)
		packed = binary.AppendUvarint(packed, h[i].Version)
		packed = binary.AppendUvarint(packed, h[i].Version-h[i].Content)
		packed = append(packed, byte(h[i].Status))
	}
	return encoding.Marshal(packed)
}

// UnmarshalCBOR decodes the list; it returns ErrMalformed when the bytes are none.
func (h *Heads) UnmarshalCBOR(data []byte) error {
	var packed []byte
	if err := decoding.Unmarshal(data, &packed); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	var list Heads
	for len(packed) > 0 {
		head, size := readHead(packed)
		if size == 0 || head.Status < StatusAlive || head.Status > StatusLeft {
			return eris.Wrap(ErrMalformed, "list of heads")
		}
		list = append(list, head)
		packed = packed[size:]
	}
	*h = list
	return nil
}

// readHead returns the first head of the bytes and its size, which is zero when there is none.
func readHead(packed []byte) (Head, int) {
	if len(packed) < keySize {
		return Head{}, 0
	}
	rest := packed[keySize:]
	version, n := binary.Uvarint(rest)
	older, k := binary.Uvarint(rest[max(n, 0):])
	if n <= 0 || k <= 0 || older > version || len(rest) == n+k {
		return Head{}, 0
	}
	return Head{
		Key: binary.BigEndian.Uint64(packed), Version: version, Content: version - older, Status: Status(rest[n+k]),
	}, keySize + n + k + 1
}
