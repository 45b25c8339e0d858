package peer

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/secret"
)

const (
	// maxPacket bounds a datagram including its authentication, in bytes.
	maxPacket = 1200
	// packetVersion is the first byte of every datagram.
	packetVersion = 1
	// packetMACSize is the length of the truncated HMAC-SHA-256 of a datagram, in bytes.
	packetMACSize = 16
)

// datagramLabel separates the datagram key from other keys derived from the fleet secret.
const datagramLabel = "datagram"

// sealer encodes datagrams and authenticates them with the fleet secret; it also opens those of accepted secrets.
type sealer struct {
	key []byte
	// acceptedKeys holds the keys of the accepted secrets, in the same order.
	acceptedKeys    [][]byte
	acceptedSecrets *secret.Set
}

func newSealer(own []byte, accepted *secret.Set) sealer {
	s := sealer{key: labelledMAC(own, datagramLabel, nil), acceptedSecrets: accepted}
	for _, other := range accepted.Secrets() {
		s.acceptedKeys = append(s.acceptedKeys, labelledMAC(other, datagramLabel, nil))
	}
	return s
}

// seal encodes and authenticates a datagram; it fails with ErrOversized above the size limit.
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

// open verifies and decodes a packet; it fails with ErrOversized, ErrMalformed or ErrForged.
func (s sealer) open(packet []byte) (*member.Datagram, error) {
	switch {
	case len(packet) > maxPacket:
		return nil, eris.Wrapf(ErrOversized, "datagram above %d bytes", maxPacket)
	case len(packet) <= 1+packetMACSize || packet[0] != packetVersion:
		return nil, eris.Wrapf(ErrMalformed, "datagram of %d bytes", len(packet))
	}
	payload := packet[1+packetMACSize:]
	if !s.verify(packet[1:1+packetMACSize], payload) {
		return nil, eris.Wrap(ErrForged, "datagram")
	}
	return member.DecodeDatagram(payload)
}

func (s sealer) verify(mac, payload []byte) bool {
	if hmac.Equal(mac, packetMAC(s.key, payload)) {
		return true
	}
	_, ok := s.acceptedSecrets.Match(func(i int) bool { return hmac.Equal(mac, packetMAC(s.acceptedKeys[i], payload)) })
	return ok
}

func packetMAC(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{packetVersion})
	mac.Write(payload)
	return mac.Sum(nil)[:packetMACSize]
}
