package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const operatorToken = "0123456789abcdef"

// fixture runs ticket commands with a settings file and a fake platform.
type fixture struct {
	*testing.T
	platform *cloud.Platform
	settings string
	dir      string
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	platform, err := cloud.Start(cloud.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	f := fixture{T: t, platform: platform, dir: t.TempDir()}
	f.settings = f.write("node.yaml", config.Settings{
		Node: config.NodeIdentity{ID: "norte-1-vm-01", Region: "norte", FailureDomain: "norte-1"},
		Listeners: config.Listeners{
			Callers: "127.0.0.1:8080", Relay: "127.0.0.1:7402", Peers: "127.0.0.1:7401", Local: "127.0.0.1:7403", Admin: "127.0.0.1:7404",
		},
		Seeds:           []string{"127.0.0.1:9401"},
		FleetSecret:     strings.Repeat("s", 32),
		OperatorToken:   operatorToken,
		Platform:        platform.Settings(),
		ShutdownTimeout: model.Duration(config.DefaultShutdownTimeout),
		LogLevel:        config.LevelInfo,
	})
	return f
}

func (f fixture) write(name string, value any) string {
	f.Helper()
	data, err := yaml.Marshal(value)
	require.NoError(f, err)
	path := filepath.Join(f.dir, name)
	require.NoError(f, os.WriteFile(path, data, 0o600))
	return path
}

func (f fixture) writeTicket(number uint64, author string) string {
	return f.write(author+".yaml", model.Ticket{Number: number, Author: author, Services: []model.ServiceSpec{{
		Name: "courtview", FloorSlots: 56, Routes: []model.RouteSpec{{Name: "all", PathPrefix: "/", Idempotent: true}},
	}}})
}

// run returns the exit code and the combined output of a ticket command.
func (f fixture) run(args ...string) (int, string) {
	f.Helper()
	var out bytes.Buffer
	code := run(append(append([]string{"ticket"}, args...), "--settings", f.settings), &out, &out)
	return code, out.String()
}

// Guards against exit codes that differ from the documentation.
func TestFilingExitCodes(t *testing.T) {
	f := newFixture(t)
	ada, bob := f.writeTicket(1, "Ada"), f.writeTicket(1, "Bob")
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"show"}, exitNotFound, "remedy"},
		{[]string{"check", ada}, exitOK, "ticket 1 is valid"},
		{[]string{"file", ada}, exitOK, "accepted ticket 1\n"},
		{[]string{"file", ada}, exitOK, "it had been accepted before"},
		{[]string{"file", bob}, exitConflict, `accepted from "Ada"`},
		{[]string{"check", ada}, exitOK, "was accepted before"},
		{[]string{"check", bob}, exitConflict, `accepted from "Ada"`},
		{[]string{"file", f.writeTicket(3, "Eve")}, exitConflict, "file as number 2"},
		{[]string{"check", f.write("bad.yaml", map[string]any{"number": 2, "autor": "x"})}, exitInvalid, "bad.yaml:"},
		{[]string{"file", filepath.Join(f.dir, "missing.yaml")}, exitInvalid, "remedy"},
		{[]string{"show", "9"}, exitNotFound, "ticket 9"},
		{[]string{"lst"}, exitInvalid, "lst"},
		{[]string{"list"}, exitOK, "Ada"},
	} {
		code, out := f.run(step.args...)
		require.Equal(t, step.code, code, "%v: %s", step.args, out)
		require.Contains(t, out, step.want, "%v", step.args)
	}
}

// Guards against an accepted ticket reported as failed, and against an unknown outcome reported as a rejection.
func TestRefilingAfterLostResponse(t *testing.T) {
	f := newFixture(t)
	path := f.writeTicket(1, "Ada")
	require.NoError(t, f.platform.Faults.Set(
		fault.Rule{Operation: "TransactWriteItems", Kind: fault.Lost, Count: 1},
		fault.Rule{Operation: "TransactWriteItems", Kind: fault.Away},
	))
	code, out := f.run("file", path)
	require.Equal(t, exitOK, code, "the row was written, so the ticket is accepted: %s", out)

	second := f.writeTicket(2, "Bob")
	require.NoError(t, f.platform.Faults.Set(fault.Rule{Operation: "TransactWriteItems", Kind: fault.Away}))
	code, out = f.run("file", second)
	require.Equal(t, exitUncertain, code, out)
	require.NoError(t, f.platform.Faults.Set())
	code, out = f.run("file", second)
	require.Equal(t, exitOK, code, out)

	require.NoError(t, f.platform.Faults.Set(fault.Rule{Kind: fault.Away}))
	code, out = f.run("file", second)
	require.Equal(t, exitUnavailable, code, out)
}

// Guards against printed tickets that don't parse back to the same ticket.
func TestShowPrintsWhatParseReads(t *testing.T) {
	f := newFixture(t)
	source := filepath.Join("..", "..", "examples", "instituto", "ticket-1.yaml")
	code, out := f.run("file", source)
	require.Equal(t, exitOK, code, out)
	code, out = f.run("show", "1")
	require.Equal(t, exitOK, code, out)
	data, err := os.ReadFile(source)
	require.NoError(t, err)
	want, err := ticket.Parse(source, data)
	require.NoError(t, err)
	got, err := ticket.Parse("shown", []byte(out))
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a list that omits the lag, a request without the operator token, and a node status that requires the
// platform.
func TestListReadsTheNumberInForcePerNode(t *testing.T) {
	f := newFixture(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/tickets" || r.Header.Get("Authorization") != "Bearer "+operatorToken {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(ticketStatus{Head: 7, Nodes: []nodeStatus{{Node: "sul-1-vm-09", Number: 5, Lag: 2}}})
	}))
	t.Cleanup(node.Close)
	address := strings.TrimPrefix(node.URL, "http://")
	require.NoError(t, f.platform.Faults.Set(fault.Rule{Kind: fault.Away}))
	code, out := f.run("list", "--node", address)
	require.Equal(t, exitOK, code, out)
	require.Regexp(t, `sul-1-vm-09\s+5\s+2`, out)
	require.NoError(t, f.platform.Faults.Set())
	code, out = f.run("list", "--node", "127.0.0.1:1")
	require.Equal(t, exitUnavailable, code, out)
}
