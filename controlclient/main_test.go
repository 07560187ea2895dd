package controlclient

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain fixes the seed and the number of steps of property tests.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 20261203, Steps: 100})
}
