package raft_test

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain fixes the random cases of property tests.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 1, Checks: 300})
}
