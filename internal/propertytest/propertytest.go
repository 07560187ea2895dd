// Package propertytest fixes how a package's property tests run, so that CI
// reaches the same verdict every time. What the command line names goes first:
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

// Defaults are the flags of a package's property tests.
type Defaults struct {
	// Seed is the seed of the random cases.
	Seed uint64
	// Checks is how many cases a property takes; zero leaves the library's.
	Checks int
	// Steps is the mean length of a case of actions; zero leaves the library's.
	Steps int
}

// Main runs the tests of a package; call it from TestMain.
func Main(m *testing.M, d Defaults) {
	flag.Parse()
	named := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { named[f.Name] = true })
	set := func(name, value string) {
		if named[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintf(os.Stderr, "propertytest: set -%s: %v\n", name, err)
			os.Exit(1)
		}
	}
	if !*randomCases {
		set("rapid.seed", strconv.FormatUint(d.Seed, 10))
	}
	if d.Checks > 0 {
		set("rapid.checks", strconv.Itoa(d.Checks))
	}
	if d.Steps > 0 {
		set("rapid.steps", strconv.Itoa(d.Steps))
	}
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
