package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

// release is set with -ldflags -X in released binaries.
var release = ""

// versionCmd prints the version of the program.
type versionCmd struct{}

// Run prints the release, or the module version of a development build.
func (versionCmd) Run(out io.Writer) error {
	_, err := fmt.Fprintf(out, "auburnwinch %s\n", version())
	return err
}

func version() string {
	if release != "" {
		return release
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "development"
}
