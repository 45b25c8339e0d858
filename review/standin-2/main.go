// Command standin-2 plays the cases of review/6 to review/10 that are scripts: it starts nodes with the command of the deploy file on
// loopback addresses, and stands in for the platform, the instances and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the scripts by name.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"crowd":   runCrowd,
	"forgets": runForgets,
	"copy":    runCopy,
	"slow":    runSlow,
	"stale":   runStale,
	"reborn":  runReborn,
	"keyless": runKeyless,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.printf("%v", err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, trouble %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		record.printf("could not run: %v", err)
	}
	record.printf("exit %d", code)
	return code
}
