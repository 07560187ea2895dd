package lease

import (
	"testing"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 20261204, Checks: 2000, Steps: 60})
}
