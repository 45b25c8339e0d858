package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const validSettings = `node:
  id: norte-1-vm-01
  region: norte
  failure-domain: norte-1
listeners:
  callers: 10.0.0.5:8080
  relay: 10.0.0.5:7402
  peers: 10.0.0.5:7401
  local: 127.0.0.1:7403
  admin: 10.0.0.5:7404
seeds:
  - 10.0.0.6:7401
  - 10.0.1.6:7401
fleet-secret: 0123456789abcdef0123456789abcdef
operator-token: "0123456789abcdef"
platform:
  table-endpoint: https://tables.example:8443
  object-endpoint: http://10.0.0.9:9000
  access-key-id: key
  secret-access-key: secret
  table: auburnwinch
  bucket: auburnwinch
shutdown-timeout: 30s
log-level: warn
`

// Guards against values and defaults that are lost when settings are parsed.
func TestParseFillsSettings(t *testing.T) {
	s, err := Parse("node.yaml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, model.Node{
		Ref: model.NodeRef{ID: "norte-1-vm-01", Incarnation: 3}, Domain: "norte-1", Region: "norte",
		PeerAddress: "10.0.0.5:7401", RelayAddress: "10.0.0.5:7402", CallerAddress: "10.0.0.5:8080",
	}, s.Self(3))
	require.Equal(t, model.Duration(30*time.Second), s.ShutdownTimeout)
	require.Equal(t, DefaultPlatformRegion, s.Platform.Region)
	s, err = Parse("node.yaml", []byte(strings.Replace(validSettings, "shutdown-timeout: 30s\nlog-level: warn\n", "", 1)))
	require.NoError(t, err)
	require.Equal(t, model.Duration(DefaultShutdownTimeout), s.ShutdownTimeout)
	require.Equal(t, LevelInfo, s.LogLevel)
}

// Guards against invalid settings that are accepted, or reported without file, line, field or remedy.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, c := range []struct{ old, changed, want string }{
		{"log-level: warn", "log-level: warn\naccepted-fleet-secrets: [short]", "accepted-fleet-secrets[0]: the value has 5 characters"},
		{"log-level: warn", "log-level: warn\naccepted-fleet-secrets: [0123456789abcdef0123456789abcdef]", "accepted-fleet-secrets[0]: the value is used twice"},
		{"log-level: warn", "log-level: warn\naccepted-operator-tokens: [aaaaaaaaaaaaaaaa, aaaaaaaaaaaaaaaa]", "accepted-operator-tokens[1]: the value is used twice"},
		{"log-level: warn", "log-level: warn\naccepted-operator-token-files: [missing]", "accepted-operator-token-files[0]: the file can't be read"},
		{"log-level: warn", "log-levle: warn", "node.yaml:24: log-levle: unknown field"},
		{"  id: norte-1-vm-01", "  ID: x\n  id: norte-1-vm-01", "node.yaml:2: node.ID: unknown field"},
		{"shutdown-timeout: 30s", "shutdown-timeout: 30", "node.yaml:23: shutdown-timeout: invalid duration"},
		{"shutdown-timeout: 30s", "shutdown-timeout: 30 seconds", "node.yaml:23: shutdown-timeout: invalid duration"},
		{"shutdown-timeout: 30s", "shutdown-timeout: -1s", "node.yaml:23: shutdown-timeout: invalid value"},
		{"shutdown-timeout: 30s", "shutdown-timeout: 0s", "node.yaml:23: shutdown-timeout: invalid value"},
		{"shutdown-timeout: 30s", "shutdown-timeout: 90h", "node.yaml:23: shutdown-timeout: invalid value"},
		{"log-level: warn", "log-level: loud", `node.yaml:24: log-level: unknown level "loud"`},
		{"relay: 10.0.0.5:7402", "relay: 10.0.0.5:8080", "node.yaml:7: listeners.relay: address 10.0.0.5:8080 is already used by listeners.callers"},
		{"relay: 10.0.0.5:7402", "relay: 10.0.0.5:0", "node.yaml:7: listeners.relay: invalid port"},
		{"relay: 10.0.0.5:7402", "relay: 10.0.0.5:70000", "node.yaml:7: listeners.relay: invalid port"},
		{"relay: 10.0.0.5:7402", "relay: ':7402'", "node.yaml:7: listeners.relay: invalid address"},
		{"relay: 10.0.0.5:7402", "relay: 0.0.0.0:7402", "node.yaml:7: listeners.relay: 0.0.0.0 stands for all interfaces"},
		{"relay: 10.0.0.5:7402", "relay: 7402", "node.yaml:7: listeners.relay: impossible value"},
		{"local: 127.0.0.1:7403", "local: 10.0.0.5:7403", "node.yaml:9: listeners.local: 10.0.0.5 is not a loopback address"},
		{"local: 127.0.0.1:7403", "local: vm.example:7403", "node.yaml:9: listeners.local: vm.example is not a loopback address"},
		{"  admin: 10.0.0.5:7404\n", "", "node.yaml:5: listeners.admin: the field is missing"},
		{"10.0.1.6:7401", "10.0.0.6:7401", "node.yaml:13: seeds[1]: address 10.0.0.6:7401 is listed twice"},
		{"seeds:", "seeds: 10.0.0.6:7401\nx:", "node.yaml:"},
		{"fleet-secret: 0123456789abcdef0123456789abcdef", "fleet-secret: short", "node.yaml:14: fleet-secret: the value has 5 characters"},
		{"fleet-secret: 0123456789abcdef0123456789abcdef\n", "", "node.yaml:1: fleet-secret: the field is missing"},
		{"fleet-secret:", "fleet-secret-file: missing\nfleet-secret:", "node.yaml:14: fleet-secret-file: fleet-secret is also set"},
		{`operator-token: "0123456789abcdef"`, "operator-token: 0123456789abcdef0123456789abcdef", "node.yaml:15: operator-token: the token equals the fleet secret"},
		{"https://tables.example:8443", "tables.example:8443", "node.yaml:17: platform.table-endpoint: invalid endpoint"},
		{"  table: auburnwinch\n", "", "node.yaml:16: platform.table: the field is missing"},
		{"platform:", "tls: {certificate: a.pem, key: a.key}\nplatform:", "node.yaml:16: tls.certificate: the file can't be read"},
		{"region: norte", "region: Norte", "node.yaml:3: node.region: invalid name"},
		{"id: norte-1-vm-01", "id: norte.1", "node.yaml:2: node.id: invalid name"},
		{"id: norte-1-vm-01", "id: 17", "node.yaml:2: node.id: impossible value"},
		{"id: norte-1-vm-01", "id: a\n  id: b", "node.yaml:3:"},
	} {
		require.Contains(t, validSettings, c.old)
		_, err := Parse("node.yaml", []byte(strings.Replace(validSettings, c.old, c.changed, 1)))
		require.ErrorContains(t, err, c.want, c.changed)
		require.Contains(t, err.Error(), "remedy: ", c.changed)
	}
}

// Guards against several errors with one cause, and against errors that are hidden by the first one.
func TestErrorsAreReportedOnceAndTogether(t *testing.T) {
	text := strings.Replace(validSettings, "10.0.0.5:7402", "10.0.0.5:8080", 1)
	_, err := Parse("node.yaml", []byte(text))
	var problems strict.Problems
	require.ErrorAs(t, err, &problems)
	require.Len(t, problems, 1)
	_, err = Parse("node.yaml", []byte(strings.Replace(text, "log-level: warn", "log-level: loud", 1)))
	require.ErrorAs(t, err, &problems)
	require.Len(t, problems, 2)
	for _, empty := range []string{"", "# only a comment\n", "- a list\n", "text"} {
		_, err = Parse("node.yaml", []byte(empty))
		require.ErrorContains(t, err, "remedy: ")
	}
}

// Guards against relative paths of secret files that are resolved against the working directory.
func TestLoadReadsSecretsBesideTheSettings(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	write("secret", strings.Repeat("s", minSecretLength)+"\n")
	path := write("node.yaml", strings.Replace(validSettings, "fleet-secret: 0123456789abcdef0123456789abcdef", "fleet-secret-file: secret", 1))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("s", minSecretLength), s.FleetSecret)
	for _, unreadable := range []string{filepath.Join(dir, "missing.yaml"), dir, "/dev/zero"} {
		_, err = Load(unreadable)
		require.ErrorContains(t, err, "remedy: ")
		_, err = Parse("node.yaml", []byte(strings.Replace(validSettings, "fleet-secret: 0123456789abcdef0123456789abcdef", "fleet-secret-file: "+unreadable, 1)))
		require.ErrorContains(t, err, "node.yaml:14: fleet-secret-file: the file can't be read")
	}
}

// Guards against unusable TLS files that are detected only when the first peer connects.
func TestTLSFilesAreChecked(t *testing.T) {
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	for name, block := range map[string]*pem.Block{"a.pem": {Type: "CERTIFICATE", Bytes: certificate}, "a.key": {Type: "PRIVATE KEY", Bytes: keyBytes}} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600))
	}
	parse := func(section string) error {
		_, err := Parse(filepath.Join(dir, "node.yaml"), []byte(validSettings+"tls: "+section))
		return err
	}
	require.NoError(t, parse("{certificate: a.pem, key: a.key, authority: a.pem}"))
	require.ErrorContains(t, parse("{certificate: a.key, key: a.key, authority: a.pem}"), "node.yaml:25: tls.certificate: certificate and key can't be used")
	require.ErrorContains(t, parse("{certificate: a.pem, key: a.key, authority: a.key}"), "node.yaml:25: tls.authority: the file holds no certificate")
	require.ErrorContains(t, parse("{certificate: a.pem, key: a.key}"), "tls.authority: the field is missing")
}

// FuzzParse guards against panics on any input, and against settings that change when written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("seeds: [[]]"))
	f.Add([]byte("node: &a {id: *a}"))
	f.Add([]byte("? x\n: y"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.yaml", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.NoError(t, s.Validate())
		if s.FleetSecretFile != "" || s.OperatorTokenFile != "" || s.TLS != nil {
			return
		}
		text, err := yaml.Marshal(s)
		require.NoError(t, err)
		again, err := Parse("again.yaml", text)
		require.NoError(t, err, string(text))
		require.Equal(t, s, again)
	})
}
