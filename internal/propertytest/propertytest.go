// Package propertytest fixes the seed and size of a package's property tests, so
// that CI results are reproducible. Flags on the command line take precedence:
// -rapid.seed and -rapid.checks, or -long for new random cases.
package propertytest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

var randomCases = flag.Bool("long", false, "draw new random cases instead of the fixed ones")

// Defaults are the default flag values of a package's property tests.
type Defaults struct {
	// Seed is the seed of the random cases.
	Seed uint64
	// Checks is the number of cases per property; zero keeps the library's
	// default.
	Checks int
	// Steps is the mean number of actions per state-machine case; zero keeps the
	// library's default.
	Steps int
}

// Main runs the tests of a package with the defaults d; call it from TestMain.
func Main(m *testing.M, d Defaults) {
	flag.Parse()
	setOnCommandLine := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setOnCommandLine[f.Name] = true })
	setDefault := func(name, value string) {
		if setOnCommandLine[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintf(os.Stderr, "propertytest: set -%s: %v\n", name, err)
			os.Exit(1)
		}
	}
	if !*randomCases {
		setDefault("rapid.seed", strconv.FormatUint(d.Seed, 10))
	}
	if d.Checks > 0 {
		setDefault("rapid.checks", strconv.Itoa(d.Checks))
	}
	if d.Steps > 0 {
		setDefault("rapid.steps", strconv.Itoa(d.Steps))
	}
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
