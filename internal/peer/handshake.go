package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/secret"
)

const (
	// handshakeMagic identifies the protocol and its version.
	handshakeMagic = "AWP1"
	nonceSize      = 32
	// handshakeTimeout bounds how long an unauthenticated connection may stay open.
	handshakeTimeout = 3 * time.Second
)

// session holds the keys of an authenticated connection, one per direction.
type session struct {
	toServer []byte
	toClient []byte
}

// clientHandshake proves knowledge of the secret to the server and verifies the server's proof.
//
// The client proves first, so that an unauthenticated client receives nothing that is derived from the secret.
func clientHandshake(conn net.Conn, secret []byte) (*session, error) {
	defer clearDeadline(conn)
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	var own [nonceSize]byte
	rand.Read(own[:])
	if _, err := conn.Write(append([]byte(handshakeMagic), own[:]...)); err != nil {
		return nil, err
	}
	var theirs [nonceSize]byte
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return nil, err
	}
	transcript := append(own[:], theirs[:]...)
	if _, err := conn.Write(labelledMAC(secret, "client", transcript)); err != nil {
		return nil, err
	}
	if err := readProof(conn, labelledMAC(secret, "server", transcript)); err != nil {
		return nil, err
	}
	return newSession(secret, transcript), nil
}

// serverHandshake verifies the client's proof of this node's secret or of an accepted one and replies with a proof of
// the same secret, so that the client needs to know only one.
func serverHandshake(conn net.Conn, own []byte, accepted *secret.Set) (*session, error) {
	defer clearDeadline(conn)
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	hello := make([]byte, len(handshakeMagic)+nonceSize)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return nil, err
	}
	if string(hello[:len(handshakeMagic)]) != handshakeMagic {
		return nil, eris.Wrap(ErrMalformed, "handshake does not start with the protocol name")
	}
	var nonce [nonceSize]byte
	rand.Read(nonce[:])
	if _, err := conn.Write(nonce[:]); err != nil {
		return nil, err
	}
	transcript := append(hello[len(handshakeMagic):], nonce[:]...)
	proven, err := readClientProof(conn, own, accepted, transcript)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(labelledMAC(proven, "server", transcript)); err != nil {
		return nil, err
	}
	return newSession(proven, transcript), nil
}

// readClientProof returns the secret that the client proved to know.
func readClientProof(conn net.Conn, own []byte, accepted *secret.Set, transcript []byte) ([]byte, error) {
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return nil, err
	}
	if hmac.Equal(proof, labelledMAC(own, "client", transcript)) {
		return own, nil
	}
	others := accepted.Secrets()
	i, ok := accepted.Match(func(i int) bool { return hmac.Equal(proof, labelledMAC(others[i], "client", transcript)) })
	if !ok {
		return nil, eris.Wrap(ErrForged, "handshake")
	}
	return others[i], nil
}

func newSession(secret, transcript []byte) *session {
	return &session{
		toServer: labelledMAC(secret, "to-server", transcript),
		toClient: labelledMAC(secret, "to-client", transcript),
	}
}

func labelledMAC(secret []byte, label string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	mac.Write(transcript)
	return mac.Sum(nil)
}

func readProof(conn net.Conn, want []byte) error {
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !hmac.Equal(got, want) {
		return eris.Wrap(ErrForged, "handshake")
	}
	return nil
}

func clearDeadline(conn net.Conn) {
	_ = conn.SetDeadline(time.Time{})
}
