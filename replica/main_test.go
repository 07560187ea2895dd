package replica

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain fixes the seed and the number of cases of the property tests.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 1, Checks: 500})
}
