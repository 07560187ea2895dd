package agent

import (
	"flag"
	"os"
	"testing"
)

// ciSeed makes a plain go test the same every time; -rapid.seed overrides it.
const ciSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", ciSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
