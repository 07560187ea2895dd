package command

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	entryLog = `2026-02-23T01:27:30.5Z INFO entry: session ended agent=side-2 err="connection is silent"
2026-02-23T01:27:32.25Z INFO entry: task ended job=a4ffeeefb5705593 at=1.15s task=0 agent=side-1 state=unknown reason=upstream_gone
2026-02-23T01:27:32.25Z INFO entry: placed job=a4ffeeefb5705593 at=1s task=0 agent=side-1
2026-02-23T01:27:32.2Z INFO entry: agent is slow agent=side-1 pace=3
2026-02-23T01:27:32.2Z INFO entry: agent is slow agent=side-2 pace=3
2026-02-23T01:27:32.2Z INFO entry: placed job=bbbbbbbbbbbbbbbb at=1s task=0 agent=side-1
not one of our lines
`
	agentLog = `{"time":"2026-02-23T01:27:32.2Z","level":"info","prefix":"agent","msg":"task unknown","task":"a4ffeeefb5705593.0.0.0","reason":"upstream_gone"}
`
)

// The entry writes both of its lines when the task has ended; `at` tells when
// it placed it.
func TestExplainOrdersOneRequestOverProcesses(t *testing.T) {
	dir := t.TempDir()
	entryFile, agentFile := filepath.Join(dir, "entry.log"), filepath.Join(dir, "agent.log")
	require.NoError(t, os.WriteFile(entryFile, []byte(entryLog), 0o600))
	require.NoError(t, os.WriteFile(agentFile, []byte(agentLog), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, ExitOK, Main([]string{"explain", "a4ffeeefb5705593", entryFile, agentFile}, &out, &errs), errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4, out.String())
	require.Contains(t, lines[0], "entry: placed")
	require.Contains(t, lines[1]+lines[2], "~ ["+entryFile+"] entry: agent is slow agent=side-1")
	require.Contains(t, lines[1]+lines[2], "["+agentFile+"] agent: task unknown")
	require.Contains(t, lines[3], "+150.000 ms")
	require.Contains(t, lines[3], "reason=upstream_gone")

	out.Reset()
	require.Equal(t, ExitOK, Main([]string{"explain", "--json", "a4ffeeefb5705593", entryFile, agentFile}, &out, &errs))
	var events []event
	require.NoError(t, json.Unmarshal(out.Bytes(), &events))
	require.Len(t, events, 4)
}

func TestExplainReportsMissingInput(t *testing.T) {
	var out, errs bytes.Buffer
	file := filepath.Join(t.TempDir(), "entry.log")
	require.Equal(t, ExitFailed, Main([]string{"explain", "a4ffeeefb5705593", file}, &out, &errs))
	require.Contains(t, errs.String(), "no such file")
	require.NoError(t, os.WriteFile(file, []byte(entryLog), 0o600))
	errs.Reset()
	require.Equal(t, ExitFailed, Main([]string{"explain", "cccc", file}, &out, &errs))
	require.Contains(t, errs.String(), "none of 6 lines of our programs names cccc")
	require.Equal(t, ExitUsage, Main([]string{"explain"}, &out, &errs))
}
