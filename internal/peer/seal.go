package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/rotisserie/eris"
)

const (
	// maxPacket bounds a datagram with its authentication, in bytes.
	maxPacket = 1200
	// packetVersion is the first byte of every datagram.
	packetVersion = 1
	// packetMACSize is the length of the truncated HMAC-SHA-256 of a datagram, in bytes.
	packetMACSize = 16
)

// sealer encodes datagrams and authenticates them with the fleet secret.
type sealer struct{ key []byte }

func newSealer(secret []byte) sealer {
	return sealer{key: prove(secret, "datagram", nil)}
}

// seal returns the packet of a datagram; it fails with ErrOversized above the size bound.
func (s sealer) seal(d *member.Datagram) ([]byte, error) {
	payload, err := member.EncodeDatagram(d)
	if err != nil {
		return nil, err
	}
	packet := make([]byte, 1+packetMACSize, 1+packetMACSize+len(payload))
	packet[0] = packetVersion
	copy(packet[1:], s.mac(payload))
	packet = append(packet, payload...)
	if len(packet) > maxPacket {
		return nil, eris.Wrapf(ErrOversized, "datagram of %d bytes", len(packet))
	}
	return packet, nil
}

// open checks and decodes a packet; it fails with ErrOversized, ErrMalformed or ErrForged.
func (s sealer) open(packet []byte) (*member.Datagram, error) {
	switch {
	case len(packet) > maxPacket:
		return nil, eris.Wrapf(ErrOversized, "datagram above %d bytes", maxPacket)
	case len(packet) <= 1+packetMACSize || packet[0] != packetVersion:
		return nil, eris.Wrapf(ErrMalformed, "datagram of %d bytes", len(packet))
	}
	payload := packet[1+packetMACSize:]
	if !hmac.Equal(packet[1:1+packetMACSize], s.mac(payload)) {
		return nil, eris.Wrap(ErrForged, "datagram")
	}
	return member.DecodeDatagram(payload)
}

func (s sealer) mac(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte{packetVersion})
	mac.Write(payload)
	return mac.Sum(nil)[:packetMACSize]
}
