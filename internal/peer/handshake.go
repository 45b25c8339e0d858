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
	// handshakeMagic names the protocol and its version.
	handshakeMagic = "AWP1"
	nonceSize      = 32
	// handshakeTimeout bounds how long an unauthenticated connection may stay open.
	handshakeTimeout = 3 * time.Second
)

// session holds the keys of one authenticated connection, one per direction.
type session struct {
	toServer []byte
	toClient []byte
}

// clientHandshake proves the secret to the server and checks the server's proof.
//
// The client proves first, so that a stranger who dials a node learns nothing derived from the secret.
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
	if _, err := conn.Write(prove(secret, "client", transcript)); err != nil {
		return nil, err
	}
	if err := readProof(conn, prove(secret, "server", transcript)); err != nil {
		return nil, err
	}
	return newSession(secret, transcript), nil
}

// serverHandshake checks the client's proof of the own secret or of an accepted one and answers with its own proof of the
// same secret, so that the client needs to know only one.
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
	if _, err := conn.Write(prove(proven, "server", transcript)); err != nil {
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
	if hmac.Equal(proof, prove(own, "client", transcript)) {
		return own, nil
	}
	others := accepted.Secrets()
	i, ok := accepted.Match(func(i int) bool { return hmac.Equal(proof, prove(others[i], "client", transcript)) })
	if !ok {
		return nil, eris.Wrap(ErrForged, "handshake")
	}
	return others[i], nil
}

func newSession(secret, transcript []byte) *session {
	return &session{
		toServer: prove(secret, "to-server", transcript),
		toClient: prove(secret, "to-client", transcript),
	}
}

func prove(secret []byte, label string, transcript []byte) []byte {
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
