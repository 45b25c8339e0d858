package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Pattern: a node is reloaded just after its start (seed 724 of the soak).
// Guards against a reload that ends a process because SIGHUP is caught only when the node has been built. It reads the order
// of initialization from the runtime, since the moment of a signal can't be chosen.
func TestHangupIsCaughtBeforeTheLargePackagesStart(t *testing.T) {
	program := filepath.Join(t.TempDir(), "auburnwinch")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	command := exec.Command(program, "version")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err = command.CombinedOutput()
	require.NoError(t, err, string(out))
	_, after, found := strings.Cut(string(out), "init github.com/auburnwinch/auburnwinch/internal/hangup ")
	require.True(t, found, string(out))
	for _, large := range []string{"go.opentelemetry.io/", "github.com/fxamacker/", "google.golang.org/"} {
		before := strings.Count(string(out), "init "+large)
		require.Equal(t, before, strings.Count(after, "init "+large), "packages of %s start earlier:\n%s", large, out)
	}
}
