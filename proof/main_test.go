package proof

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain fixes the seed of the property tests.
// For a longer run: go test ./proof -rapid.checks=5000 -rapid.seed=7.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 1})
}
