package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against scripts that send a configuration which nodes reject, and against keys in the output.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	route := func(name, prefix, more string) string {
		return `{"resourceType":"routes","metadata":{"name":"` + name + `"},"spec":{"host":"h","prefix":"` + prefix + `","service":"s"` + more + `}}`
	}
	config := func(version string, resources string) string {
		return `{"version":"` + version + `","resources":[` + resources + `]}`
	}
	inForce := write("in-force.json", config("r4", route("a", "/a/", "")))
	moved := write("next.json", config("r5", route("a", "/b/", "")+","+route("b", "/a/", "")))
	for name, c := range map[string]struct {
		args []string
		code int
		text string
	}{
		"fine":      {[]string{inForce}, 0, ""},
		"changes":   {[]string{moved, "--against", inForce}, 0, "change: route a: prefix: /a/ to /b/\nchange: route b: added\n"},
		"ignored":   {[]string{inForce, "--against", moved}, exitConfigErrors, "error: version: nodes ignore it"},
		"same":      {[]string{write("same.json", config("r5", route("a", "/a/", "")+","+route("b", "/a/", "")))}, exitConfigErrors, "same requests"},
		"not JSON":  {[]string{write("broken.json", "{\n\"version\":\n}")}, exitConfigErrors, "line 3"},
		"service":   {[]string{write("none.json", config("r5", `{"resourceType":"routes","metadata":{"name":"a"},"spec":{"host":"h","prefix":"/a/"}}`))}, exitConfigErrors, "incomplete"},
		"objective": {[]string{write("late.json", config("r5", route("a", "/a/", `,"timeoutMs":5,"targetLatencyMs":9`)))}, exitConfigWarnings, "warning: route a: the objective of 9ms"},
		"idle":      {[]string{write("idle.json", config("r5", route("a", "/a/", "")+`,{"resourceType":"limits","metadata":{},"spec":{"headerTimeoutMs":9,"idleTimeoutMs":5}}`))}, exitConfigWarnings, "warning: limits"},
		"no file":   {[]string{filepath.Join(dir, "missing")}, exitConfigUsage, ""},
		"arguments": {[]string{}, exitConfigUsage, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			require.Equal(t, c.code, run(append([]string{"config", "check"}, c.args...), &out, &errs), "%s%s", &out, &errs)
			require.Contains(t, out.String(), c.text)
		})
	}
	var out, errs bytes.Buffer
	require.Equal(t, exitConfigErrors, run([]string{"config", "check", inForce, "--against", moved, "--json"}, &out, &errs))
	var report configReport
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.Len(t, report.Findings, 1)
	require.Len(t, report.Changes, 2)
}
