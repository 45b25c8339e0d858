package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// relayDial opens connections to relay listeners, with mutual TLS when there are keys.
func relayDial(dial relay.DialFunc, c *tls.Config) relay.DialFunc {
	if c == nil {
		return dial
	}
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = raw.Close() // Nothing was sent on it.
			return nil, eris.Wrapf(err, "relay address %s", address)
		}
		own := c.Clone()
		own.ServerName = host
		conn := tls.Client(raw, own)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // Nothing was sent on it.
			return nil, eris.Wrapf(err, "TLS with %s; check that its certificate names this address and the fleet's authority", address)
		}
		return conn, nil
	}
}

// loadTLS reads the keys for mutual TLS between nodes; without settings it returns nil.
func loadTLS(c *config.TLS) (*tls.Config, error) {
	if c == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load tls.certificate %s and tls.key %s; check that the files hold a PEM pair", c.Certificate, c.Key)
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, eris.Wrapf(err, "read tls.authority %s", c.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("tls.authority %s holds no PEM certificate; give the certificate of the fleet's authority", c.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
