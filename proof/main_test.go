package proof

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests unless the command line names one.
// A longer run: go test ./proof -rapid.checks=5000 -rapid.seed=7.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
