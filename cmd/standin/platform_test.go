package main

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reporting readiness before the listeners are open, and against ignoring SIGTERM.
func TestPlatformReportsReadyAndStops(t *testing.T) {
	program, err := os.Executable()
	require.NoError(t, err)
	command := exec.Command(program, "platform", "--table-address", "127.0.0.1:0", "--object-address", "127.0.0.1:0", "--control-address", "127.0.0.1:0")
	command.Env = append(os.Environ(), standinEnv+"=1")
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	var ready platformReady
	require.NoError(t, json.NewDecoder(bufio.NewReader(out)).Decode(&ready))
	response, err := http.Get(ready.ControlEndpoint + "/v1/counters")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, command.Wait())
}
