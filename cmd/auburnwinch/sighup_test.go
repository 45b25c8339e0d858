package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP ending a process that is reloaded just after its start, because the signal handler was set up
// only after the node had been built (seed 724 of the soak test). The test checks the order of package initialization
// that the runtime prints, since it can't time a signal to arrive during initialization.
func TestHangupIsCaughtBeforeTheLargePackagesStart(t *testing.T) {
	program := filepath.Join(t.TempDir(), "auburnwinch")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	command := exec.Command(program, "version")
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err = command.CombinedOutput()
	require.NoError(t, err, string(out))
	_, after, found := strings.Cut(string(out), "init github.com/auburnwinch/auburnwinch/internal/sighup ")
	require.True(t, found, string(out))
	for _, large := range []string{"go.opentelemetry.io/", "github.com/fxamacker/", "google.golang.org/"} {
		before := strings.Count(string(out), "init "+large)
		require.Equal(t, before, strings.Count(after, "init "+large), "packages of %s are initialized earlier:\n%s", large, out)
	}
}
