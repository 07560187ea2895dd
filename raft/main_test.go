package raft_test

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain fixes the random seed of the property tests, so that every run uses
// the same cases.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 1, Checks: 300})
}
