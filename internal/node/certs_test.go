package node

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// issueCerts writes the TLS files of one node, issued by a separate authority.
func issueCerts(t *testing.T) *config.TLS {
	t.Helper()
	plan, err := procs.LoadPlan("../../examples/kleefwerk", procs.PlanConfig{Directory: t.TempDir(), Network: 0, TLS: true})
	require.NoError(t, err)
	return plan.Nodes[0].Settings.TLS
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(to, data, 0o600))
}

// handshake returns an error unless client and server authenticate each other.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	clientPipe, serverPipe := net.Pipe()
	defer clientPipe.Close()
	defer serverPipe.Close()
	deadline := time.Now().Add(5 * time.Second)
	require.NoError(t, clientPipe.SetDeadline(deadline))
	require.NoError(t, serverPipe.SetDeadline(deadline))
	accepted := make(chan error, 1)
	go func() {
		conn := tls.Server(serverPipe, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		accepted <- err
		_ = serverPipe.Close()
	}()
	config := client.Clone()
	config.ServerName = "127.0.1.1"
	conn := tls.Client(clientPipe, config)
	if err := conn.Handshake(); err != nil {
		return err
	}
	// In TLS 1.3 the client learns from its first read whether the server accepted its certificate.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return err
	}
	return <-accepted
}

// Guards against a node that needs a restart to use renewed certificates, and against one that drops its certificates
// when the files do not match, for instance because the certificate is written before its key.
func TestChangedTLSFilesAreReloaded(t *testing.T) {
	paths, renewed := issueCerts(t), issueCerts(t)
	clock := timer.NewManual(time.Now())
	k, err := newCertReloader(paths, clock, log.NewNopLogger())
	require.NoError(t, err)
	defer k.close()
	old, err := readCertBundle(*paths)
	require.NoError(t, err)
	next, err := readCertBundle(*renewed)
	require.NoError(t, err)
	require.NoError(t, handshake(t, k.serverConfig(), old.config))

	copyFile(t, renewed.Certificate, paths.Certificate)
	clock.Advance(certReloadInterval)
	require.Eventually(t, func() bool { return k.failures.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, handshake(t, k.serverConfig(), old.config), "the previous certificate stays in use")

	copyFile(t, renewed.Key, paths.Key)
	copyFile(t, renewed.Authority, paths.Authority)
	clock.Advance(certReloadInterval)
	require.Eventually(t, func() bool { return k.current.Load().equal(next) }, 5*time.Second, time.Millisecond)
	require.NoError(t, handshake(t, k.serverConfig(), next.config))
	require.NoError(t, handshake(t, next.config, k.latest()))
	require.Error(t, handshake(t, k.serverConfig(), old.config), "certificates of the replaced authority are no longer accepted")
	require.EqualValues(t, next.expires.Sub(clock.Now())/time.Second, k.secondsUntilExpiry())
	require.NoError(t, os.Remove(filepath.Clean(paths.Key)))
}
