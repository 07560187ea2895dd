package fleet

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain runs the property tests with a fixed default seed and number of steps.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 20261203, Steps: 100})
}
