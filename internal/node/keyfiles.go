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

// keyInterval is how often the files are read again. Certificates are renewed hours before they expire.
const keyInterval = time.Minute

// keyFiles holds the keys for mutual TLS between nodes and takes over changed files without a restart. New connections
// use the latest keys, open ones go on with theirs. A nil value means no TLS.
type keyFiles struct {
	paths   config.TLS
	clock   timer.Service
	logger  log.Logger
	current atomic.Pointer[keyPair]
	// failures counts the reads that left the previous keys in use.
	failures atomic.Uint64
	stop     chan struct{}
	group    conc.WaitGroup
}

// keyPair are the keys of one read of the files.
type keyPair struct {
	content [3][]byte
	config  *tls.Config
	expires time.Time
}

// tlsState tells which keys are in use, for the state dump.
type tlsState struct {
	CertificateExpires time.Time `json:"certificate-expires"`
	FailedReads        uint64    `json:"failed-reads"`
}

// openKeyFiles reads the files and watches them until close; without settings it returns nil.
func openKeyFiles(paths *config.TLS, clock timer.Service, logger log.Logger) (*keyFiles, error) {
	if paths == nil {
		return nil, nil
	}
	k := &keyFiles{paths: *paths, clock: clock, logger: logger, stop: make(chan struct{})}
	first, err := readKeys(k.paths)
	if err != nil {
		return nil, err
	}
	k.current.Store(first)
	ticks := clock.Subscribe(keyInterval)
	k.group.Go(func() { k.watch(ticks) })
	return k, nil
}

// source returns the function that gives the latest keys to each new connection, or nil without TLS.
func (k *keyFiles) source() func() *tls.Config {
	if k == nil {
		return nil
	}
	return k.latest
}

// server returns settings for a listener that takes the latest keys for each connection.
func (k *keyFiles) server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.latest(), nil },
	}
}

func (k *keyFiles) latest() *tls.Config {
	return k.current.Load().config
}

func (k *keyFiles) state() *tlsState {
	if k == nil {
		return nil
	}
	return &tlsState{CertificateExpires: k.current.Load().expires, FailedReads: k.failures.Load()}
}

// secondsLeft returns the time until the certificate expires, in seconds; it is negative afterwards.
func (k *keyFiles) secondsLeft() int64 {
	return int64(k.current.Load().expires.Sub(k.clock.Now()) / time.Second)
}

func (k *keyFiles) close() {
	if k == nil {
		return
	}
	close(k.stop)
	k.group.Wait()
}

func (k *keyFiles) watch(ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-ticks.C:
			k.reload()
		}
	}
}

// reload takes over changed files. Files that do not fit together, such as a certificate whose key is not written yet,
// leave the previous keys in use; the next read tries again.
func (k *keyFiles) reload() {
	next, err := readKeys(k.paths)
	if err != nil {
		k.failures.Add(1)
		_ = level.Error(k.logger).Log("msg", "changed TLS files not taken over; the previous keys stay in use", "err", err)
		return
	}
	if next.equal(k.current.Load()) {
		return
	}
	k.current.Store(next)
	_ = level.Info(k.logger).Log("msg", "changed TLS files in use", "certificate-expires", next.expires)
}

func (k *keyPair) equal(other *keyPair) bool {
	for i := range k.content {
		if !bytes.Equal(k.content[i], other.content[i]) {
			return false
		}
	}
	return true
}

func readKeys(paths config.TLS) (*keyPair, error) {
	k := &keyPair{}
	for i, path := range [...]string{paths.Certificate, paths.Key, paths.Authority} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read a file of the tls settings; check path and permissions")
		}
		k.content[i] = data
	}
	certificate, err := tls.X509KeyPair(k.content[0], k.content[1])
	if err != nil {
		return nil, eris.Wrapf(err, "load tls.certificate %s and tls.key %s; check that the files hold a PEM pair", paths.Certificate, paths.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(k.content[2]) {
		return nil, eris.Errorf("tls.authority %s holds no PEM certificate; give the certificate of the fleet's authority", paths.Authority)
	}
	k.expires = certificate.Leaf.NotAfter
	k.config = mutualTLS(certificate, pool)
	return k, nil
}

// mutualTLS offers no session tickets, so that each connection is checked against the latest authorities.
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
