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

// desk is an operator with settings and a running platform.
type desk struct {
	*testing.T
	platform *cloud.Platform
	settings string
	dir      string
}

func newDesk(t *testing.T) desk {
	t.Helper()
	platform, err := cloud.Start(cloud.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	d := desk{T: t, platform: platform, dir: t.TempDir()}
	d.settings = d.write("node.yaml", config.Settings{
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
	return d
}

func (d desk) write(name string, value any) string {
	d.Helper()
	data, err := yaml.Marshal(value)
	require.NoError(d, err)
	path := filepath.Join(d.dir, name)
	require.NoError(d, os.WriteFile(path, data, 0o600))
	return path
}

func (d desk) ticket(number uint64, author string) string {
	return d.write(author+".yaml", model.Ticket{Number: number, Author: author, Services: []model.ServiceSpec{{
		Name: "courtview", FloorSlots: 56, Routes: []model.RouteSpec{{Name: "all", PathPrefix: "/", Idempotent: true}},
	}}})
}

// run returns the exit code and everything that the command printed.
func (d desk) run(args ...string) (int, string) {
	d.Helper()
	var out bytes.Buffer
	code := run(append(append([]string{"ticket"}, args...), "--settings", d.settings), &out, &out)
	return code, out.String()
}

// Guards against exit codes that differ from the documented ones.
func TestFilingExitCodes(t *testing.T) {
	d := newDesk(t)
	ada, bob := d.ticket(1, "Ada"), d.ticket(1, "Bob")
	for _, step := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"show"}, codeMissing, "remedy"},
		{[]string{"check", ada}, codeDone, "ticket 1 is valid"},
		{[]string{"file", ada}, codeDone, "accepted ticket 1\n"},
		{[]string{"file", ada}, codeDone, "it had been accepted before"},
		{[]string{"file", bob}, codeConflict, `accepted from "Ada"`},
		{[]string{"check", ada}, codeDone, "was accepted before"},
		{[]string{"check", bob}, codeConflict, `accepted from "Ada"`},
		{[]string{"file", d.ticket(3, "Eve")}, codeConflict, "file as number 2"},
		{[]string{"check", d.write("bad.yaml", map[string]any{"number": 2, "autor": "x"})}, codeInvalid, "bad.yaml:"},
		{[]string{"file", filepath.Join(d.dir, "missing.yaml")}, codeInvalid, "remedy"},
		{[]string{"show", "9"}, codeMissing, "ticket 9"},
		{[]string{"lst"}, codeInvalid, "lst"},
		{[]string{"list"}, codeDone, "Ada"},
	} {
		code, out := d.run(step.args...)
		require.Equal(t, step.code, code, "%v: %s", step.args, out)
		require.Contains(t, out, step.says, "%v", step.args)
	}
}

// Guards against a filed ticket that is reported as failed, or an unknown outcome that is reported as a refusal.
func TestFilingAgainAfterALostAnswer(t *testing.T) {
	d := newDesk(t)
	path := d.ticket(1, "Ada")
	require.NoError(t, d.platform.Faults.Set(
		fault.Rule{Operation: "TransactWriteItems", Kind: fault.Lost, Count: 1},
		fault.Rule{Operation: "TransactWriteItems", Kind: fault.Away},
	))
	code, out := d.run("file", path)
	require.Equal(t, codeDone, code, "the row is there, so the ticket is accepted: %s", out)

	second := d.ticket(2, "Bob")
	require.NoError(t, d.platform.Faults.Set(fault.Rule{Operation: "TransactWriteItems", Kind: fault.Away}))
	code, out = d.run("file", second)
	require.Equal(t, codeUncertain, code, out)
	require.NoError(t, d.platform.Faults.Set())
	code, out = d.run("file", second)
	require.Equal(t, codeDone, code, out)

	require.NoError(t, d.platform.Faults.Set(fault.Rule{Kind: fault.Away}))
	code, out = d.run("file", second)
	require.Equal(t, codeUnavailable, code, out)
}

// Guards against a printed ticket that can't be filed again in the same form.
func TestShowPrintsWhatParseReads(t *testing.T) {
	d := newDesk(t)
	source := filepath.Join("..", "..", "examples", "instituto", "ticket-1.yaml")
	code, out := d.run("file", source)
	require.Equal(t, codeDone, code, out)
	code, out = d.run("show", "1")
	require.Equal(t, codeDone, code, out)
	data, err := os.ReadFile(source)
	require.NoError(t, err)
	want, err := ticket.Parse(source, data)
	require.NoError(t, err)
	got, err := ticket.Parse("shown", []byte(out))
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a list without the lag, without the token, or one that needs the platform to ask a node.
func TestListReadsTheNumberInForcePerNode(t *testing.T) {
	d := newDesk(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/tickets" || r.Header.Get("Authorization") != "Bearer "+operatorToken {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_ = json.NewEncoder(w).Encode(ticketStatus{Head: 7, Nodes: []nodeStatus{{Node: "sul-1-vm-09", Number: 5, Lag: 2}}})
	}))
	t.Cleanup(node.Close)
	address := strings.TrimPrefix(node.URL, "http://")
	require.NoError(t, d.platform.Faults.Set(fault.Rule{Kind: fault.Away}))
	code, out := d.run("list", "--node", address)
	require.Equal(t, codeDone, code, out)
	require.Regexp(t, `sul-1-vm-09\s+5\s+2`, out)
	require.NoError(t, d.platform.Faults.Set())
	code, out = d.run("list", "--node", "127.0.0.1:1")
	require.Equal(t, codeUnavailable, code, out)
}
