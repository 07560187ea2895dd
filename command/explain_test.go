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

// The entry logs the placement together with the end of the task; key "at" gives
// the time of the placement, so it is printed first.
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

const heldTwice = "b1e2bb27d5fad7d0"

// Logs of two entries and two agents that hold the same job at once: its caller breaks
// off at the first entry and sends the job again to the second.
var heldTwiceLogs = map[string]string{
	"front-1.log": `2026-02-23T01:27:34.4Z INFO entry: answered job=b1e2bb27d5fad7d0 at=12.4s submission=000000000000000700000000000000a1 state=complete reason="" after=2.4s objective=1s why=""
`,
	"front-2.log": `2026-02-23T01:27:34.7Z INFO entry: answered job=b1e2bb27d5fad7d0 at=7.1s submission=000000000000000900000000000000b2 state=complete reason="" after=1.4s objective=1s why=""
`,
	"side-1.log": `2026-02-23T01:27:32.1Z INFO agent: run started task=b1e2bb27d5fad7d0.0.0.0 run=1 submission=000000000000000700000000000000a1 entry=front-1 incarnation=7 instance=i-1@100 waited=1ms running=1 queued=0
2026-02-23T01:27:34.3Z INFO agent: task complete task=b1e2bb27d5fad7d0.0.0.0 run=1 submission=000000000000000700000000000000a1 entry=front-1 incarnation=7 instance=i-1@100 reason="" waited=1ms ran=2.2s running=0 queued=0
2026-02-23T01:27:34.35Z INFO agent: run started task=b1e2bb27d5fad7d0.0.0.1 run=1 submission=000000000000000700000000000000a1 entry=front-1 incarnation=7 instance=i-1@100 waited=1ms running=1 queued=0
`,
	"side-2.log": `{"time":"2026-02-23T01:27:33.4Z","level":"info","prefix":"agent","msg":"run started","task":"b1e2bb27d5fad7d0.0.0.0","run":1,"submission":"000000000000000900000000000000b2","entry":"front-2","incarnation":9,"instance":"i-2@50","waited":"1ms","running":1,"queued":0}
{"time":"2026-02-23T01:27:34.6Z","level":"info","prefix":"agent","msg":"task complete","task":"b1e2bb27d5fad7d0.0.0.0","run":1,"submission":"000000000000000900000000000000b2","entry":"front-2","incarnation":9,"instance":"i-2@50","reason":"","waited":"1ms","ran":"1.2s","running":0,"queued":0}
`,
}

// In the users' record of two runs at once no line named either run, so that nothing led
// from the job to the two entries that held it.
func TestExplainShowsTwoEntriesThatHoldOneJob(t *testing.T) {
	dir := t.TempDir()
	args := []string{"explain", heldTwice}
	for name, text := range heldTwiceLogs {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		args = append(args, file)
	}
	var out, errs bytes.Buffer
	require.Equal(t, ExitOK, Main(args, &out, &errs), errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 8, out.String())
	for i, want := range []string{
		"+0.000 ms   [" + filepath.Join(dir, "side-1.log") + "] agent: run started",
		"+1300.000 ms   [" + filepath.Join(dir, "side-2.log") + "] agent: run started",
		"+2200.000 ms   [" + filepath.Join(dir, "side-1.log") + "] agent: task complete",
		"+2250.000 ms   [" + filepath.Join(dir, "side-1.log") + "] agent: run started",
		"+2300.000 ms   [" + filepath.Join(dir, "front-1.log") + "] entry: answered",
		"+2500.000 ms   [" + filepath.Join(dir, "side-2.log") + "] agent: task complete",
		"+2600.000 ms   [" + filepath.Join(dir, "front-2.log") + "] entry: answered",
	} {
		require.Contains(t, lines[i], want)
	}
	require.Equal(t, "two runs at once for 900ms: b1e2bb27d5fad7d0.0.0.0 run 1 on i-1@100 from front-1 incarnation 7, and run 1 on i-2@50 from front-2 incarnation 9", lines[7])
}
