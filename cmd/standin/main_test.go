package main

import (
	"os"
	"testing"
)

// standinEnv is the environment variable that makes the test binary run main instead of the tests.
const standinEnv = "AUBURNWINCH_TEST_STANDIN"

func TestMain(m *testing.M) {
	if os.Getenv(standinEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}
