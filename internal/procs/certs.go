package procs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/config"
)

// certLifetime exceeds the duration of any test run.
const certLifetime = 24 * time.Hour

// certAuthority issues the node certificates of one deployment.
type certAuthority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	path        string
}

// issueCertificates creates a certificate authority and a certificate for the IP address of each node.
func (p *Plan) issueCertificates() error {
	a, err := newCertAuthority(p.Directory)
	if err != nil {
		return err
	}
	for i := range p.Nodes {
		settings := &p.Nodes[i].Settings
		host, _, err := net.SplitHostPort(settings.Listeners.Relay)
		if err != nil {
			return eris.Wrap(err, "parse relay address")
		}
		if settings.TLS, err = a.issue(p.Directory, settings.Node.ID, net.ParseIP(host)); err != nil {
			return err
		}
	}
	return nil
}

func newCertAuthority(directory string) (*certAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate CA key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "auburnwinch test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create CA certificate")
	}
	a := &certAuthority{key: key, certificate: template, path: filepath.Join(directory, "authority.pem")}
	return a, writePEM(a.path, "CERTIFICATE", der)
}

func (a *certAuthority) issue(directory, name string, address net.IP) (*config.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrapf(err, "generate key of %s", name)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLifetime),
		IPAddresses:  []net.IP{address},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, eris.Wrapf(err, "create certificate of %s", name)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, eris.Wrapf(err, "encode key of %s", name)
	}
	files := &config.TLS{
		Certificate: filepath.Join(directory, name+".cert.pem"),
		Key:         filepath.Join(directory, name+".key.pem"),
		Authority:   a.path,
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return nil, err
	}
	return files, writePEM(files.Key, "EC PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrapf(os.WriteFile(path, data, fileMode), "write %s", path)
}
