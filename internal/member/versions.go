package member

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// keySize is the length of a key in an encoded RecordVersions, in bytes.
const keySize = 8

// RecordVersion is the version and status of a record without its content.
type RecordVersion struct {
	Key            uint64
	Version        uint64
	ContentVersion uint64
	Status         Status
}

// RecordVersions is encoded as one byte string with some 11 bytes per element, where CBOR maps would take 23: the key,
// the version, the difference between version and content version, and the status.
type RecordVersions []RecordVersion

// MarshalCBOR encodes the list.
func (v RecordVersions) MarshalCBOR() ([]byte, error) {
	packed := make([]byte, 0, len(v)*(keySize+4))
	for i := range v {
		packed = binary.BigEndian.AppendUint64(packed, v[i].Key)
		packed = binary.AppendUvarint(packed, v[i].Version)
		packed = binary.AppendUvarint(packed, v[i].Version-v[i].ContentVersion)
		packed = append(packed, byte(v[i].Status))
	}
	return encoding.Marshal(packed)
}

// UnmarshalCBOR decodes the list; it returns ErrMalformed for invalid input.
func (v *RecordVersions) UnmarshalCBOR(data []byte) error {
	var packed []byte
	if err := decoding.Unmarshal(data, &packed); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	var list RecordVersions
	for len(packed) > 0 {
		version, size := readRecordVersion(packed)
		if size == 0 || version.Status < StatusAlive || version.Status > StatusLeft {
			return eris.Wrap(ErrMalformed, "list of record versions")
		}
		list = append(list, version)
		packed = packed[size:]
	}
	*v = list
	return nil
}

// readRecordVersion decodes the first element and returns its encoded size, which is zero for invalid input.
func readRecordVersion(packed []byte) (RecordVersion, int) {
	if len(packed) < keySize {
		return RecordVersion{}, 0
	}
	rest := packed[keySize:]
	version, n := binary.Uvarint(rest)
	lag, k := binary.Uvarint(rest[max(n, 0):])
	if n <= 0 || k <= 0 || lag > version || len(rest) == n+k {
		return RecordVersion{}, 0
	}
	return RecordVersion{
		Key: binary.BigEndian.Uint64(packed), Version: version, ContentVersion: version - lag, Status: Status(rest[n+k]),
	}, keySize + n + k + 1
}
