package entryd

import (
	"bytes"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/logging"
)

func answered(bad bool) entry.Decision {
	return entry.Decision{Ref: "a4ffeeefb5705593", What: "answered", Bad: bad, Inputs: []any{"state", "complete", "reason", ""}}
}

// A flood of routine lines is bounded and leaves room for the lines about
// requests that did not complete.
func TestDecisionLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	d := New(Options{Log: log.New(&out)})
	for range 3 * logging.LinesPerSecond {
		d.decided(answered(false))
	}
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	require.Less(t, lines, 3*logging.LinesPerSecond)
	require.GreaterOrEqual(t, lines, logging.LinesPerSecond)
	out.Reset()
	d.decided(answered(true))
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
}

func BenchmarkDecisionLine(b *testing.B) {
	for name, lines := range map[string]int{"written": b.N + 1<<30, "left-out": 0} {
		b.Run(name, func(b *testing.B) {
			d := New(Options{Log: log.New(io.Discard)})
			d.budget = logging.NewBudget(lines)
			line := answered(false)
			b.ReportAllocs()
			for b.Loop() {
				d.decided(line)
			}
		})
	}
}
