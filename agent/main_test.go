package agent

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain sets a fixed default seed for the property tests.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 1})
}
