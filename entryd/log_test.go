package entryd

import (
	"bytes"
	"math"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/logging"
)

func answeredDecision(incomplete bool) entry.Decision {
	return entry.Decision{Ref: "a4ffeeefb5705593", Message: "answered", Incomplete: incomplete, Inputs: []any{"state", "complete", "reason", ""}}
}

// A flood of routine lines is bounded and does not use up the budget of the lines
// about requests that did not complete.
func TestDecisionLogLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		d := New(Options{Log: log.New(&out)})
		for range 3 * logging.LinesPerSecond {
			d.logDecision(answeredDecision(false))
		}
		require.Equal(t, logging.LinesPerSecond, bytes.Count(out.Bytes(), []byte("\n")))
		out.Reset()
		d.logDecision(answeredDecision(true))
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
	})
}

// discard drops all lines after formatting. With io.Discard the logger would skip
// the formatting, and the benchmark would not measure it.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkDecisionLine(b *testing.B) {
	for name, lines := range map[string]int{"written": math.MaxInt, "left-out": 0} {
		b.Run(name, func(b *testing.B) {
			d := New(Options{Log: log.New(discard{})})
			d.budget = logging.NewBudget(lines)
			line := answeredDecision(false)
			b.ReportAllocs()
			for b.Loop() {
				d.logDecision(line)
			}
		})
	}
}
