package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/secret"
)

const (
	// maxPacket bounds a datagram with its authentication, in bytes.
	maxPacket = 1200
	// packetVersion is the first byte of every datagram.
	packetVersion = 1
	// packetMACSize is the length of the truncated HMAC-SHA-256 of a datagram, in bytes.
	packetMACSize = 16
)

// datagramLabel separates the key of datagrams from the other keys that the fleet secret yields.
const datagramLabel = "datagram"

// sealer encodes datagrams and authenticates them with the fleet secret; it opens those of accepted secrets as well.
type sealer struct {
	key []byte
	// accepted are the keys of the accepted secrets, in their order.
	accepted    [][]byte
	acceptedUse *secret.Set
}

func newSealer(own []byte, accepted *secret.Set) sealer {
	s := sealer{key: prove(own, datagramLabel, nil), acceptedUse: accepted}
	for _, other := range accepted.Secrets() {
		s.accepted = append(s.accepted, prove(other, datagramLabel, nil))
	}
	return s
}

// seal returns the packet of a datagram; it fails with ErrOversized above the size bound.
func (s sealer) seal(d *member.Datagram) ([]byte, error) {
	payload, err := member.EncodeDatagram(d)
	if err != nil {
		return nil, err
	}
	packet := make([]byte, 1+packetMACSize, 1+packetMACSize+len(payload))
	packet[0] = packetVersion
	copy(packet[1:], packetMAC(s.key, payload))
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
	if !s.authentic(packet[1:1+packetMACSize], payload) {
		return nil, eris.Wrap(ErrForged, "datagram")
	}
	return member.DecodeDatagram(payload)
}

func (s sealer) authentic(mac, payload []byte) bool {
	if hmac.Equal(mac, packetMAC(s.key, payload)) {
		return true
	}
	_, ok := s.acceptedUse.Match(func(i int) bool { return hmac.Equal(mac, packetMAC(s.accepted[i], payload)) })
	return ok
}

func packetMAC(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{packetVersion})
	mac.Write(payload)
	return mac.Sum(nil)[:packetMACSize]
}
