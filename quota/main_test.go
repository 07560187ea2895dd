package quota

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain sets a fixed seed for property tests.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 20261203})
}
