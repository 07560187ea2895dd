package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const agentText = `[process]
id = agent-1
domain = sv-a
site = svealand
[listen]
peers = 127.0.0.1:7101
upstream = 127.0.0.1:7201
[control]
addresses = 127.0.0.1:7001, 127.0.0.1:7002
[worker]
rack = rack-1
processors = 32
memory-mb = 128000
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "p.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Omitted keys get their defaults, and relative folders are resolved against the
// folder of the file.
func TestAgentDefaults(t *testing.T) {
	path := writeSettings(t, agentText)
	got, err := LoadAgent(path)
	require.NoError(t, err)
	require.Equal(t, &Agent{
		Process: Process{
			ID: "agent-1", Domain: "sv-a", Site: "svealand",
			LogLevel: "info", LogFormat: "text", DrainTimeout: 30 * time.Second,
			Keys: filepath.Join(filepath.Dir(path), "keys"), PeerTimeout: 2 * time.Second,
		},
		Peers: "127.0.0.1:7101", Upstream: "127.0.0.1:7201",
		MemoryTarget: 96 << 20,
		Control:      []string{"127.0.0.1:7001", "127.0.0.1:7002"},
		Rack:         "rack-1", Processors: 32, MemoryMB: 128000,
		Credit: "lend", QueueShare: 0.5, Lease: time.Second, LogTasks: true,
	}, got)
}

// An invalid file is rejected with all of its errors, each with file, line,
// section, key and the valid values.
func TestBadFileListsEveryError(t *testing.T) {
	text := strings.NewReplacer(
		"sv-a", "sv a",
		"127.0.0.1:7101", "0.0.0.0:7101",
		"127.0.0.1:7201", "10.1.2.3:7201",
		"127.0.0.1:7002", "127.0.0.1:7001",
		"rack = rack-1\n", "",
		"32", "thirty",
	).Replace(agentText) + "colour = red\n[surprise]\nx = 1\n"
	path := writeSettings(t, text)
	_, err := LoadAgent(path)
	require.EqualError(t, err, strings.ReplaceAll(strings.Join([]string{
		`F:3: [process] domain: "sv a" is not valid, want 1 to 63 letters, digits, '.', '_' or '-'`,
		`F:6: [listen] peers: "0.0.0.0:7101" is not valid, want IP:port that others can reach, such as 127.0.0.1:7101`,
		`F:7: [listen] upstream: "10.1.2.3:7201" is not valid, want IP:port of the loopback interface, such as 127.0.0.1:7201`,
		`F:9: [control] addresses: "127.0.0.1:7001, 127.0.0.1:7001" is not valid, want IP:port, more than one separated by commas, none twice`,
		`F:10: [worker] rack: missing, want 1 to 63 letters, digits, '.', '_' or '-'`,
		`F:11: [worker] processors: "thirty" is not valid, want a whole number from 1 to 4096`,
		`F:13: [worker] colour: unknown key, want one of accelerators, memory-mb, processors, rack`,
		`F:14: [surprise] unknown section, want one of control, credit, entries, keys, listen, platform, process, worker`,
	}, "\n"), "F:", path+":"))
}

// Sizes, durations, enumerations, booleans and constraints between keys are
// validated.
func TestBadValues(t *testing.T) {
	const process = "[process]\nid = a\ndomain = b\nsite = c\n"
	const entry = process + "[listen]\ncallers = 127.0.0.1:8001\n[control]\naddresses = 127.0.0.1:7001\n"
	const control = process + "[listen]\npeers = 127.0.0.1:7001\nadmin = 127.0.0.1:7002\n[cluster]\ninitial = 127.0.0.1:7003\n"
	loadEntry := func(path string) error { _, err := LoadEntry(path); return err }
	loadControl := func(path string) error { _, err := LoadControl(path); return err }
	for name, c := range map[string]struct {
		load func(string) error
		text string
		want string
	}{
		"entry is valid":     {loadEntry, entry, ""},
		"size":               {loadEntry, entry + "[limits]\nmax-body = 1GiB\n", `:10: [limits] max-body: "1GiB" is not valid, want a size from 1 to 7340032 bytes`},
		"size above limit":   {loadEntry, entry + "[limits]\nmax-body = 8MiB\n", `:10: [limits] max-body: "8MiB" is not valid`},
		"policy":             {loadEntry, entry + "[placement]\npolicy = best\n", `:10: [placement] policy: "best" is not valid, want one of credits, least-outstanding, two-choices, random`},
		"speeds":             {loadEntry, entry + "[placement]\npolicy = random\nspeeds = true\n", `:11: [placement] speeds: is true with policy random, want policy credits`},
		"missing section":    {loadEntry, process, `[listen] callers: missing`},
		"duration":           {loadEntry, strings.Replace(entry, "site", "drain-timeout = 5\nsite", 1), `:4: [process] drain-timeout: "5" is not valid, want a duration from 0s to 10m0s`},
		"control not listed": {loadControl, control, `:9: [cluster] initial: lacks this host's own address 127.0.0.1:7001`},
		"control joins":      {loadControl, control + "join = true\n", ""},
		"boolean":            {loadControl, control + "join = yes\n", `:10: [cluster] join: "yes" is not valid, want true or false`},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.load(writeSettings(t, c.text))
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
}

// The committed settings page equals the program's output.
func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	var want bytes.Buffer
	require.NoError(t, Document(&want))
	require.Equal(t, want.String(), string(page), "page is out of date; regenerate it: go run ./cmd/fireflytray settings > docs/SETTINGS.md")
}

func FuzzParse(f *testing.F) {
	f.Add(agentText)
	f.Add("[process]\nid=\n[listen]\npeers = 1:1:1\n[limits]\nmax-body = -9999999999MiB\n")
	f.Fuzz(func(t *testing.T, text string) {
		for _, s := range []keyLister{new(Agent), new(Entry), new(Control), new(Upstream)} {
			err := parse("f.ini", []byte(text), s)
			if a, ok := s.(*Agent); ok && err == nil {
				require.NotEmpty(t, a.Control)
				require.NotEmpty(t, a.ID)
			}
		}
	})
}
