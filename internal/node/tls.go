package node

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// relayDial returns a dial function for relay listeners; it uses mutual TLS if latest is not nil.
func relayDial(dial relay.DialFunc, latest func() *tls.Config) relay.DialFunc {
	if latest == nil {
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
			_ = raw.Close() // Nothing was sent on the connection.
			return nil, eris.Wrapf(err, "relay address %s", address)
		}
		config := latest().Clone()
		config.ServerName = host
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // Nothing was sent on the connection.
			return nil, eris.Wrapf(err, "TLS handshake with %s; check that its certificate contains this address and is signed by the fleet's authority", address)
		}
		return conn, nil
	}
}
