package ticket

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// canonical encodes equal data to equal bytes, so that digests can be compared across programs.
var canonical = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Parse decodes and validates a ticket file; errors are strict.Problems with file and line.
func Parse(file string, data []byte) (model.Ticket, error) {
	var t model.Ticket
	document, err := strict.Decode(file, data, &t)
	if err != nil {
		return model.Ticket{}, err
	}
	if problems := check(t); len(problems) > 0 {
		return model.Ticket{}, document.Locate(problems)
	}
	return t, nil
}

// Encode returns the canonical encoding of a ticket.
func Encode(t model.Ticket) ([]byte, error) {
	return canonical.Marshal(t)
}

// Decode decodes the result of Encode.
func Decode(data []byte) (model.Ticket, error) {
	var t model.Ticket
	err := cbor.Unmarshal(data, &t)
	return t, err
}

// EncodeConfiguration returns the canonical encoding of a configuration.
func EncodeConfiguration(c *model.Configuration) ([]byte, error) {
	return canonical.Marshal(c)
}

// DecodeConfiguration decodes the result of EncodeConfiguration.
func DecodeConfiguration(data []byte) (*model.Configuration, error) {
	c := new(model.Configuration)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, err
	}
	return c, nil
}

// Digest returns a hash of the content of a ticket; equal content has an equal digest.
func Digest(t model.Ticket) (string, error) {
	data, err := Encode(t)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
