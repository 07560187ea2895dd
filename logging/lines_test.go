package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type namedText string

// lineValues holds a value of each type that the lines about requests and tasks have.
var lineValues = []any{
	"task", "a4ffeeefb5705593.0.0.0", "run", uint32(1), "incarnation", uint64(1) << 60,
	"waited", 1500 * time.Microsecond, "negative", -3, "long", int64(7), "named", namedText("upstream_gone"),
	"empty", "", "why", `it said "no" = no`, "umlaut", "größe", "err", errors.New("a failure"),
	"slow", true, "pace", 1.25,
}

// Saved searches and "fireflytray explain" read both kinds of lines.
func TestLinesReadLikeThoseOfTheLogger(t *testing.T) {
	for _, format := range []string{FormatText, FormatJSON} {
		var out bytes.Buffer
		root, err := New(&out, "info", format)
		require.NoError(t, err)
		root.For(PartAgent).Info("run started", lineValues...)
		want, ok := Parse(out.String())
		require.True(t, ok)
		out.Reset()
		root.Lines(PartAgent).Info("run started", lineValues...)
		got, ok := Parse(out.String())
		require.True(t, ok, out.String())
		require.Equal(t, 1, strings.Count(out.String(), "\n"))
		require.Len(t, got.Fields, len(lineValues)/2)
		want.Time, got.Time = time.Time{}, time.Time{}
		require.Equal(t, want, got)
	}
}

// A value with line breaks must not end its line, since the rest would be read as
// lines of another program.
func TestLineBreaksInValuesAreQuoted(t *testing.T) {
	for _, format := range []string{FormatText, FormatJSON} {
		var out bytes.Buffer
		root, err := New(&out, "info", format)
		require.NoError(t, err)
		root.Lines(PartAgent).Info("run started", "why", "two\nlines")
		require.Equal(t, 1, strings.Count(out.String(), "\n"))
		r, ok := Parse(out.String())
		require.True(t, ok)
		require.Equal(t, "two\nlines", r.Get("why"))
	}
}

func TestLinesObserveTheLevel(t *testing.T) {
	var out bytes.Buffer
	root, err := New(&out, "error", FormatText)
	require.NoError(t, err)
	lines := root.Lines(PartAgent)
	lines.Info("run started")
	require.Empty(t, out.String())
	require.NoError(t, root.SetLevel("info"))
	lines.Info("run started")
	require.Contains(t, out.String(), "INFO agent: run started\n")
}

type unreadLines struct{}

// Write implements io.Writer.
func (unreadLines) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkLine(b *testing.B) {
	root, err := New(unreadLines{}, "info", FormatText)
	require.NoError(b, err)
	for name, l := range map[string]LineLogger{"logger": root.For(PartAgent), "lines": root.Lines(PartAgent)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.Info("run started", "task", "a4ffeeefb5705593.0.0.0", "run", uint32(1), "entry", "front-1",
					"incarnation", uint64(1)<<60, "instance", "i-1@100", "waited", time.Millisecond, "running", 3, "queued", 2)
			}
		})
	}
}
