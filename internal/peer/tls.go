package peer

import (
	"crypto/tls"
	"net"
)

// serverTLS requires a certificate of the calling node; the settings may name the authorities as RootCAs only.
func serverTLS(base *tls.Config) *tls.Config {
	if base == nil {
		return nil
	}
	config := base.Clone()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	return config
}

// clientTLS checks the certificate against ServerName, or against the dialled host when none is set.
func clientTLS(base *tls.Config, address string) *tls.Config {
	config := base.Clone()
	if config.ServerName == "" {
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
	}
	return config
}
