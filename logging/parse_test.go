package logging

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What a logger writes is read back, in both formats, with a collector's words
// before it.
func TestParseReadsBothLoggerFormats(t *testing.T) {
	for _, format := range []string{FormatText, FormatJSON} {
		var out bytes.Buffer
		root, err := New(&out, "info", format)
		require.NoError(t, err)
		root.For(PartEntry).Info("task ended", "job", "a4ffeeefb5705593", "task", 2, "ran", 1067*time.Millisecond,
			"why", `lost "it" = gone`, "reason", "", "err", errors.New("dial: no such host"))
		for _, before := range []string{"", "  -9.9868 front-sv-d-1/entry "} {
			r, ok := Parse(before + out.String())
			require.True(t, ok, format)
			require.Equal(t, PartEntry, r.Part)
			require.Equal(t, "info", r.Level)
			require.Equal(t, "task ended", r.Text)
			require.Equal(t, "a4ffeeefb5705593", r.Get("job"))
			require.Equal(t, "2", r.Get("task"))
			require.Equal(t, "1.067s", r.Get("ran"))
			require.Equal(t, `lost "it" = gone`, r.Get("why"))
			require.Empty(t, r.Get("reason"))
			require.Equal(t, "dial: no such host", r.Get("err"))
			require.WithinDuration(t, time.Now(), r.Time, time.Minute)
			if before != "" {
				require.Equal(t, "front-sv-d-1/entry", r.Source)
			}
		}
	}
}

func TestParseRejectsOtherLines(t *testing.T) {
	for _, line := range []string{"", "built in 8.2 s", "{}", `{"msg":"x"}`, "2026/02/23 01:27:22 failed to increase", "2026-02-23T01:27:32Z", "2026-02-23T01:27:32Z INFO no part here"} {
		_, ok := Parse(line)
		require.False(t, ok, line)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`2026-02-23T01:27:32.082485338Z INFO entry: answered job=fabba2fb6015e323 why="" after=66ms`)
	f.Add(`x {"time":"2026-02-23T01:27:32Z","level":"info","prefix":"entry","msg":"m","n":1}`)
	f.Fuzz(func(t *testing.T, line string) { Parse(line) })
}
