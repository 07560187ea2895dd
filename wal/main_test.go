package wal_test

import (
	"flag"
	"os"
	"testing"
)

var long = flag.Bool("long", false, "draw new random cases instead of the fixed ones")

// TestMain fixes the seed of property tests, so that every run decides alike.
func TestMain(m *testing.M) {
	flag.Parse()
	if !*long && flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		flag.Set("rapid.checks", "1000")
	}
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
