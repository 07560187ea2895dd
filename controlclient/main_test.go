package controlclient

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of property tests, unless the command
// line names others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
