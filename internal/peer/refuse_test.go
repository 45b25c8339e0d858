package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

// Guards against datagrams that are taken over although they are malformed, forged, oversized or stale, and against
// refusals that are not counted.
func TestBadDatagramsAreCounted(t *testing.T) {
	p := startPeer(t, "a")
	stranger := model.NodeRef{ID: "x", Incarnation: 1}
	seal := func(secret string, d *member.Datagram) []byte {
		packet, err := newSealer([]byte(secret), nil).seal(d)
		require.NoError(t, err)
		return packet
	}
	mac := func(payload string) []byte {
		s := newSealer([]byte(testSecret), nil)
		return append(append([]byte{packetVersion}, packetMAC(s.key, []byte(payload))...), payload...)
	}
	ping := &member.Datagram{Kind: member.KindPing, From: stranger}
	conn, err := net.Dial("udp", p.Self().PeerAddress)
	require.NoError(t, err)
	defer conn.Close()
	for _, packet := range [][]byte{
		{},
		{packetVersion},
		[]byte("GET / HTTP/1.1\r\n\r\n plain text of another protocol"), mac("not CBOR"), mac("\xa0"),
		mac("\xa2\x01\x01\x02\xa2\x01\x61x\x02\xff"),
		seal(testSecret, &member.Datagram{Kind: 9, From: stranger}),
		seal("another secret of some fleet", ping),
		make([]byte, 1400),
		seal(testSecret, &member.Datagram{Kind: member.KindPing, From: stranger, To: 12345}),
		seal(testSecret, &member.Datagram{Kind: member.KindPing, From: p.Self().Ref}),
	} {
		_, err := conn.Write(packet)
		require.NoError(t, err)
	}
	eventually(t, "refusals counted", func() bool {
		s := p.Stats()
		return s.Malformed == 7 && s.Forged == 1 && s.Oversized == 1 && s.Stale == 2
	})
	require.True(t, sees(p, "a"))
}

// Guards against RPC connections without the fleet secret, and against bytes that crash or stop the server.
func TestBadConnectionsAreCounted(t *testing.T) {
	p := startPeer(t, "a")
	address := p.Self().PeerAddress
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	_, _ = dial().Write([]byte("GET /state HTTP/1.1\r\nHost: auburnwinch\r\n\r\n"))
	eventually(t, "other protocol refused", func() bool { return p.Stats().Malformed == 1 })

	_, err := clientHandshake(dial(), []byte("another secret of some fleet"))
	require.Error(t, err)
	eventually(t, "wrong secret refused", func() bool { return p.Stats().Forged == 1 })

	conn := dial()
	_, err = clientHandshake(conn, []byte(testSecret))
	require.NoError(t, err)
	_, _ = conn.Write(append(binary.BigEndian.AppendUint32(nil, 5), make([]byte, frameMACSize+5)...))
	eventually(t, "forged frame refused", func() bool { return p.Stats().Forged == 2 })

	conn = dial()
	_, err = clientHandshake(conn, []byte(testSecret))
	require.NoError(t, err)
	_, _ = conn.Write(append(binary.BigEndian.AppendUint32(nil, MaxFrame+1), make([]byte, frameMACSize)...))
	eventually(t, "oversized frame refused", func() bool { return p.Stats().Oversized == 1 })

	conn = dial()
	keys, err := clientHandshake(conn, []byte(testSecret))
	require.NoError(t, err)
	frame := newFrameConn(conn, keys.toClient, keys.toServer, time.Second)
	_, _ = conn.Write(frame.appendFrame(nil, []byte("not CBOR")))
	eventually(t, "malformed frame refused", func() bool { return p.Stats().Malformed == 2 })

	b := startPeer(t, "b")
	_, err = double(b, p.Self(), 1)
	require.NoError(t, err)
}

// Guards against a server that is taken for a node of the fleet without proving the secret.
func TestServerMustProveSecret(t *testing.T) {
	a := startPeer(t, "a")
	other := startPeer(t, "b", func(c *Config) { c.Secret = []byte("another secret of some fleet") })
	_, err := double(a, other.Self(), 1)
	require.ErrorIs(t, err, ErrUnsent)
	require.Never(t, func() bool { return !sees(a, "a") || !sees(other, "b") }, 300*time.Millisecond, 50*time.Millisecond)
}

// Guards against frames that can be replayed within a connection.
func TestReplayedFrameIsRefused(t *testing.T) {
	p := startPeer(t, "a")
	conn, err := net.Dial("tcp", p.Self().PeerAddress)
	require.NoError(t, err)
	defer conn.Close()
	keys, err := clientHandshake(conn, []byte(testSecret))
	require.NoError(t, err)
	frame := newFrameConn(conn, keys.toClient, keys.toServer, time.Second)
	call := frame.appendFrame(nil, must(t)(encoding.Marshal(rpcHeader{Method: "Double.Double", Seq: 1})))
	call = frame.appendFrame(call, must(t)(encoding.Marshal(4)))
	_, _ = conn.Write(append(call, call...))
	eventually(t, "replayed frame refused", func() bool { return p.Stats().Forged == 1 })
}

// Guards against mutual TLS that accepts nodes without a certificate of the fleet.
func TestMutualTLS(t *testing.T) {
	fleet, stranger := testTLS(t), testTLS(t)
	with := func(config *tls.Config) func(*Config) {
		return func(c *Config) { c.TLS = func() *tls.Config { return config } }
	}
	a := startPeer(t, "a", with(fleet))
	b := startPeer(t, "b", with(fleet), withSeed(a))
	eventually(t, "nodes with certificates joined", func() bool { return sees(a, "a", "b") })
	_, err := double(b, a.Self(), 1)
	require.NoError(t, err)
	for _, c := range []*Peer{startPeer(t, "c"), startPeer(t, "d", with(stranger))} {
		_, err := double(c, a.Self(), 1)
		require.ErrorIs(t, err, ErrUnsent)
	}
	eventually(t, "strangers counted", func() bool { return a.Stats().Forged == 2 })
}

// FuzzOpen guards against packets that crash a node, with and without a valid authentication code.
func FuzzOpen(f *testing.F) {
	s := newSealer([]byte(testSecret), nil)
	self := model.Node{Ref: model.NodeRef{ID: "a", Incarnation: 5}, PeerAddress: "127.0.0.1:7400"}
	now := time.Unix(1000, 0)
	sender := member.New(member.Config{Self: model.Node{Ref: model.NodeRef{ID: "b", Incarnation: 1}}, Now: now})
	sender.Update(member.LocalMsg{Now: now, Local: member.LocalState{Targets: []model.Target{{Slots: 3}}}})
	for _, cmd := range sender.Update(member.DatagramMsg{Now: now, Source: "127.0.0.1:7401", Datagram: &member.Datagram{
		Kind: member.KindPing, From: self.Ref,
	}}) {
		if send, ok := cmd.(member.SendCmd); ok {
			packet, err := s.seal(send.Datagram)
			require.NoError(f, err)
			f.Add(packet[1+packetMACSize:])
		}
	}
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, payload []byte) {
		if _, err := s.open(payload); err == nil {
			t.Fatal("packet without authentication code accepted")
		}
		packet := append(append([]byte{packetVersion}, packetMAC(s.key, payload)...), payload...)
		d, err := s.open(packet)
		if err != nil {
			return
		}
		m := member.New(member.Config{Self: self, Now: now})
		m.Update(member.BootstrapMsg{Now: now})
		for _, cmd := range m.Update(member.DatagramMsg{Now: now, Source: "127.0.0.1:7401", Datagram: d}) {
			if send, ok := cmd.(member.SendCmd); ok {
				_, err := s.seal(send.Datagram)
				require.NoError(t, err)
			}
		}
	})
}

func must(t *testing.T) func([]byte, error) []byte {
	return func(b []byte, err error) []byte {
		require.NoError(t, err)
		return b
	}
}

// testTLS returns settings with a certificate of a new authority.
func testTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, DNSNames: []string{"fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      roots, ServerName: "fleet", MinVersion: tls.VersionTLS13,
	}
}
