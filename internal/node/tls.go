package node

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// relayDial opens connections to relay listeners, with mutual TLS when there are keys.
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
			_ = raw.Close() // Nothing was sent on it.
			return nil, eris.Wrapf(err, "relay address %s", address)
		}
		own := latest().Clone()
		own.ServerName = host
		conn := tls.Client(raw, own)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // Nothing was sent on it.
			return nil, eris.Wrapf(err, "TLS with %s; check that its certificate names this address and the fleet's authority", address)
		}
		return conn, nil
	}
}
