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

// issueKeys writes the files of one node under an authority of its own.
func issueKeys(t *testing.T) *config.TLS {
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

// shakeHands reports whether a connection between the two sets of keys is authenticated both ways.
func shakeHands(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	deadline := time.Now().Add(5 * time.Second)
	require.NoError(t, near.SetDeadline(deadline))
	require.NoError(t, far.SetDeadline(deadline))
	accepted := make(chan error, 1)
	go func() {
		conn := tls.Server(far, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		accepted <- err
		_ = far.Close()
	}()
	own := client.Clone()
	own.ServerName = "127.0.1.1"
	conn := tls.Client(near, own)
	if err := conn.Handshake(); err != nil {
		return err
	}
	// With TLS 1.3 the client learns from the first read whether its certificate was accepted.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return err
	}
	return <-accepted
}

// Guards against a node that must restart to use renewed keys, and against one that drops its keys when the files do not
// fit together, as when the certificate is written before its key.
func TestChangedKeyFilesAreTakenOver(t *testing.T) {
	paths, renewed := issueKeys(t), issueKeys(t)
	clock := timer.NewManual(time.Now())
	k, err := openKeyFiles(paths, clock, log.NewNopLogger())
	require.NoError(t, err)
	defer k.close()
	old, err := readKeys(*paths)
	require.NoError(t, err)
	next, err := readKeys(*renewed)
	require.NoError(t, err)
	require.NoError(t, shakeHands(t, k.server(), old.config))

	copyFile(t, renewed.Certificate, paths.Certificate)
	clock.Advance(keyInterval)
	require.Eventually(t, func() bool { return k.failures.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, shakeHands(t, k.server(), old.config), "the previous keys stay in use")

	copyFile(t, renewed.Key, paths.Key)
	copyFile(t, renewed.Authority, paths.Authority)
	clock.Advance(keyInterval)
	require.Eventually(t, func() bool { return k.current.Load().equal(next) }, 5*time.Second, time.Millisecond)
	require.NoError(t, shakeHands(t, k.server(), next.config))
	require.NoError(t, shakeHands(t, next.config, k.latest()))
	require.Error(t, shakeHands(t, k.server(), old.config), "the dropped authority vouches for nobody")
	require.EqualValues(t, next.expires.Sub(clock.Now())/time.Second, k.secondsLeft())
	require.NoError(t, os.Remove(filepath.Clean(paths.Key)))
}
