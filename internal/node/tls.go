package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/config"
)

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
