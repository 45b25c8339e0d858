package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// serverTLS requires a client certificate; ClientCAs defaults to RootCAs.
func serverTLS(base *tls.Config) *tls.Config {
	config := base.Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	return config
}

// clientTLS verifies the certificate against ServerName, or against the dialled host when none is set.
func clientTLS(base *tls.Config, address string) *tls.Config {
	config := base.Clone()
	if config.ServerName == "" {
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
	}
	return config
}

// secureServer performs the TLS handshake if TLS is enabled; it fails with ErrForged when the client cannot be
// verified.
func secureServer(raw net.Conn, latest func() *tls.Config) (net.Conn, error) {
	if latest == nil {
		return raw, nil
	}
	conn := tls.Server(raw, serverTLS(latest()))
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	err := conn.HandshakeContext(ctx)
	var network net.Error
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, io.EOF), errors.As(err, &network) && network.Timeout():
		return nil, err
	default:
		return nil, eris.Wrapf(ErrForged, "TLS handshake: %v", err)
	}
}
