package node

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// certReloadInterval is how often the files are read again. Certificates are renewed hours before they expire.
const certReloadInterval = time.Minute

// certReloader provides the certificates for mutual TLS between nodes and reloads changed files without a restart. New
// connections use the latest certificates, open ones keep theirs. A nil certReloader means that TLS is disabled.
type certReloader struct {
	paths   config.TLS
	clock   timer.Service
	logger  log.Logger
	current atomic.Pointer[certBundle]
	// failures counts the failed reads, after which the previous certificates stayed in use.
	failures atomic.Uint64
	stop     chan struct{}
	group    conc.WaitGroup
}

// certBundle is the result of reading the files once.
type certBundle struct {
	content [3][]byte
	config  *tls.Config
	expires time.Time
}

// tlsState is the part of the state dump about the certificate in use.
type tlsState struct {
	CertificateExpires time.Time `json:"certificate-expires"`
	FailedReads        uint64    `json:"failed-reads"`
}

// newCertReloader reads the files and polls them for changes until close; it returns nil without TLS settings.
func newCertReloader(paths *config.TLS, clock timer.Service, logger log.Logger) (*certReloader, error) {
	if paths == nil {
		return nil, nil
	}
	r := &certReloader{paths: *paths, clock: clock, logger: logger, stop: make(chan struct{})}
	first, err := readCertBundle(r.paths)
	if err != nil {
		return nil, err
	}
	r.current.Store(first)
	ticks := clock.Subscribe(certReloadInterval)
	r.group.Go(func() { r.watch(ticks) })
	return r, nil
}

// clientConfig returns a function that returns the latest TLS configuration for each new connection, or nil without
// TLS.
func (r *certReloader) clientConfig() func() *tls.Config {
	if r == nil {
		return nil
	}
	return r.latest
}

// serverConfig returns the TLS configuration of a listener that uses the latest certificates for each connection.
func (r *certReloader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.latest(), nil },
	}
}

func (r *certReloader) latest() *tls.Config {
	return r.current.Load().config
}

func (r *certReloader) state() *tlsState {
	if r == nil {
		return nil
	}
	return &tlsState{CertificateExpires: r.current.Load().expires, FailedReads: r.failures.Load()}
}

// secondsUntilExpiry returns the time until the certificate expires, in seconds; it is negative afterwards.
func (r *certReloader) secondsUntilExpiry() int64 {
	return int64(r.current.Load().expires.Sub(r.clock.Now()) / time.Second)
}

func (r *certReloader) close() {
	if r == nil {
		return
	}
	close(r.stop)
	r.group.Wait()
}

func (r *certReloader) watch(ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticks.C:
			r.reload()
		}
	}
}

// reload loads changed files. If the files do not match, such as a certificate whose key is not written yet, the
// previous certificates stay in use and the next read tries again.
func (r *certReloader) reload() {
	next, err := readCertBundle(r.paths)
	if err != nil {
		r.failures.Add(1)
		_ = level.Error(r.logger).Log("msg", "reloading the TLS files failed; the previous certificate stays in use", "err", err)
		return
	}
	if next.equal(r.current.Load()) {
		return
	}
	r.current.Store(next)
	_ = level.Info(r.logger).Log("msg", "TLS files reloaded", "certificate-expires", next.expires)
}

func (b *certBundle) equal(other *certBundle) bool {
	for i := range b.content {
		if !bytes.Equal(b.content[i], other.content[i]) {
			return false
		}
	}
	return true
}

func readCertBundle(paths config.TLS) (*certBundle, error) {
	b := &certBundle{}
	for i, path := range [...]string{paths.Certificate, paths.Key, paths.Authority} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read a file named in the tls settings; check its path and permissions")
		}
		b.content[i] = data
	}
	certificate, err := tls.X509KeyPair(b.content[0], b.content[1])
	if err != nil {
		return nil, eris.Wrapf(err, "load tls.certificate %s and tls.key %s; check that the files hold a PEM pair", paths.Certificate, paths.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b.content[2]) {
		return nil, eris.Errorf("tls.authority %s holds no PEM certificate; give the certificate of the fleet's authority", paths.Authority)
	}
	b.expires = certificate.Leaf.NotAfter
	b.config = mutualTLS(certificate, pool)
	return b, nil
}

// mutualTLS disables session tickets, so that each connection is checked against the latest authorities.
func mutualTLS(certificate tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{certificate},
		RootCAs:                authorities,
		ClientCAs:              authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	}
}
