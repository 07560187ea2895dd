package e2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaryDir is the folder of the programs under test.
var binaryDir string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "fireflytray-e2e-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e: make folder for binaries:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "e2e: build binaries: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}
