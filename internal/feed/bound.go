package feed

import (
	"net"

	"github.com/rotisserie/eris"
)

// maxMessageBytes bounds a message of a follower, which has some hundred bytes. The decoder allocates up to ten megabytes
// for the length that a message states, before any of it has arrived.
const maxMessageBytes = 64 << 10

var errMessageTooLong = eris.New("the message of a follower is too long or malformed; check what connects to the peer listener")

// boundedConn fails once a message in the format of encoding/gob states a length above maxMessageBytes.
type boundedConn struct {
	net.Conn
	bound messageBound
}

// messageBound follows the lengths in a stream of messages.
type messageBound struct {
	// lengthBytes is how many bytes of the current length are missing, and left how many bytes of the current message.
	lengthBytes int
	length      int
	left        int
}

// Read reads from the follower.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.bound.accept(p[:n]) {
		return 0, errMessageTooLong
	}
	return n, err
}

// accept follows the next bytes of the stream; it returns false if a message is too long.
func (b *messageBound) accept(p []byte) bool {
	for len(p) > 0 {
		if b.left > 0 {
			skipped := min(b.left, len(p))
			b.left -= skipped
			p = p[skipped:]
			continue
		}
		next := p[0]
		p = p[1:]
		switch {
		case b.lengthBytes > 0:
			b.length = b.length<<8 | int(next)
			b.lengthBytes--
		case next < 0x80:
			b.length = int(next)
		default:
			b.length, b.lengthBytes = 0, -int(int8(next))
			if b.lengthBytes > 8 {
				return false
			}
		}
		if b.length > maxMessageBytes {
			return false
		}
		if b.lengthBytes == 0 {
			b.left = b.length
		}
	}
	return true
}
