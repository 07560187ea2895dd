package directory

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, unless the command line names one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
