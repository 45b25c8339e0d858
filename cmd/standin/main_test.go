package main

import (
	"os"
	"testing"
)

// standinArgument makes the test binary run the program itself.
const standinArgument = "AUBURNWINCH_TEST_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(standinArgument) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}
