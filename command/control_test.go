package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/controld"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// operator runs command lines of an operator against one control host.
type operator struct {
	t     *testing.T
	admin string
	keys  string
}

func startControl(t *testing.T) *operator {
	t.Helper()
	dir := t.TempDir()
	authority := filepath.Join(dir, "authority")
	require.NoError(t, keys.Init(authority))
	issue := func(role wire.Role, id string) string {
		folder := filepath.Join(dir, id)
		require.NoError(t, keys.Issue(authority, keys.Name{Role: role, ID: id, Domain: "sv-a"}, time.Hour, folder))
		return folder
	}
	host, err := keys.Load(issue(wire.RoleControl, "control-1"))
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- controld.Run(ctx, controld.Options{
			Self:     wire.Peer{Role: wire.RoleControl, ID: "control-1", Incarnation: 1, Domain: "sv-a"},
			Identity: host, Listen: "127.0.0.1:0", AdminListener: ln, Log: log.New(io.Discard),
		})
	}()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	op := &operator{t, ln.Addr().String(), issue(wire.RoleOperator, "astrid")}
	issue(wire.RoleEntry, "entry-1")
	return op
}

// run executes a command line with the operator's options.
func (o *operator) run(args ...string) (code int, stdout, stderr string) {
	o.t.Helper()
	var out, errs bytes.Buffer
	code = Main(append(args, "--admin", o.admin, "--keys", o.keys), &out, &errs)
	return code, out.String(), errs.String()
}

// json executes a command line that must succeed and decodes its JSON output.
func (o *operator) json(out any, args ...string) {
	o.t.Helper()
	code, stdout, stderr := o.run(append(args, "--json")...)
	require.Equal(o.t, ExitOK, code, stderr)
	require.NoError(o.t, json.Unmarshal([]byte(stdout), out), stdout)
}

// writeConfig writes a configuration and returns its folder.
func writeConfig(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

// An operator compares, applies, retries and rolls back configurations, and a
// change that names an outdated version is rejected with a conflict. The audit
// trail records each accepted and rejected change with its operator.
func TestConfigCommands(t *testing.T) {
	op := startControl(t)
	first := writeConfig(t, map[string]string{"base.ini": "[service alert-core]\nmax-tasks = 10\n"})
	second := writeConfig(t, map[string]string{
		"base.ini": "[service alert-core]\nmax-tasks = 20\n[team night]\n", "sv-b.ini": "[team night]\nweight = 3\n",
	})

	var diff adminapi.Difference
	op.json(&diff, "config", "diff", first)
	require.Equal(t, []adminapi.SectionChange{{Section: "service alert-core", Change: "added",
		Keys: []adminapi.KeyChange{{Key: "max-tasks", New: "10"}}}}, diff.Sections)

	var one, two, resent adminapi.ChangeReply
	op.json(&one, "config", "apply", first, "--op", "op-1", "--wait")
	require.True(t, one.Accepted)
	op.json(&resent, "config", "apply", first, "--op", "op-1", "--replaces", "0")
	require.True(t, resent.Resent)
	require.Equal(t, one.Index, resent.Index)

	code, _, stderr := op.run("config", "apply", second, "--replaces", "0", "--op", "op-late")
	require.Equal(t, ExitNotRun, code)
	require.Contains(t, stderr, "refused: conflict: the change replaces version 0, but version")
	require.Contains(t, stderr, "by astrid (operation op-1)")

	op.json(&two, "config", "apply", second)
	require.True(t, two.Accepted)
	var rolledBack adminapi.ChangeReply
	op.json(&rolledBack, "config", "rollback", itoa(one.Index))
	require.Equal(t, one.Digest, rolledBack.Digest)
	require.Greater(t, rolledBack.Index, two.Index)

	var status adminapi.ConfigStatus
	op.json(&status, "config", "status")
	require.True(t, status.Fresh)
	require.Equal(t, rolledBack.Index, status.Version.Index)
	var fleet adminapi.FleetReply
	op.json(&fleet, "status", "--role", "control")
	require.Len(t, fleet.Processes, 1)
	require.Equal(t, rolledBack.Index, fleet.Processes[0].Index)
	var history adminapi.HistoryReply
	op.json(&history, "config", "history")
	require.Len(t, history.Versions, 3)
	require.Equal(t, "rollback to "+itoa(one.Index), history.Versions[0].Action)
	code, text, _ := op.run("config", "show", "--index", itoa(two.Index))
	require.Equal(t, ExitOK, code)
	require.Contains(t, text, "# overlay of site sv-b\n[team night]\nweight = 3\n")

	var audit adminapi.AuditReply
	op.json(&audit, "audit")
	require.True(t, audit.Verified)
	var actions []string
	for _, e := range audit.Entries {
		require.Equal(t, "astrid", e.By)
		require.NotEmpty(t, e.From)
		actions = append(actions, e.Action+" "+yesNo(e.Accepted))
	}
	require.Equal(t, []string{"config apply yes", "config apply no", "config apply yes", "config rollback yes"}, actions)
	op.json(&audit, "audit", "--outcome", "refused")
	require.Len(t, audit.Entries, 1)
	require.Contains(t, audit.Entries[0].Reason, "conflict")
}

// An invalid configuration is rejected locally, with file and line of every
// problem.
func TestConfigCheckCommand(t *testing.T) {
	bad := writeConfig(t, map[string]string{"base.ini": "[service a]\ndeadline = soon\n\nnope = 1\n", "sv-b.ini": "[service b]\n"})
	var out, errs bytes.Buffer
	require.Equal(t, ExitUsage, Main([]string{"config", "check", bad}, &out, &errs))
	require.Contains(t, errs.String(), "base.ini:2: [service a] deadline: \"soon\" is not a duration; valid:")
	require.Contains(t, errs.String(), "base.ini:4: [service a] nope: unknown key; valid: one of")
	require.Contains(t, errs.String(), "sv-b.ini:1: [service b]: the base has no service b")
	require.Equal(t, 3, strings.Count(errs.String(), ".ini:"))
}

// A file that is not UTF-8 was applied with other text than it has.
func TestConfigurationThatIsNotUTF8IsRefused(t *testing.T) {
	const text = "[service s]\n[route r]\nhost = gr\xf6\xdfe.example\nprefix = /x/\nservice = s\ntimeout = 1s\n"
	bad := writeConfig(t, map[string]string{"base.ini": text})
	for _, command := range []string{"check", "diff", "apply"} {
		var out, errs bytes.Buffer
		require.Equal(t, ExitUsage, Main([]string{"config", command, bad}, &out, &errs), command)
		require.Contains(t, errs.String(), "base.ini:3: the line is not UTF-8", command)
	}
}

// The certificate of a process is rejected as an operator's, and an unreachable
// host gives another exit code than a rejected change.
func TestAdminAccess(t *testing.T) {
	op := startControl(t)
	entry := *op
	entry.keys = filepath.Join(filepath.Dir(op.keys), "entry-1")
	code, _, stderr := entry.run("config", "status", "--timeout", "2s")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "names entry entry-1")
	unreachable := *op
	unreachable.admin = "127.0.0.1:1"
	code, _, stderr = unreachable.run("control", "list")
	require.Equal(t, ExitUnavailable, code)
	require.Contains(t, stderr, "no control host answered")
	code, _, stderr = op.run("control", "remove", "0000000000000001")
	require.Equal(t, ExitNotRun, code, stderr)
	code, _, stderr = op.run("control", "add", "0000000000000002", "127.0.0.1:2")
	require.Equal(t, ExitNotRun, code, stderr)
	var audit adminapi.AuditReply
	op.json(&audit, "audit", "--action", "control add")
	require.Len(t, audit.Entries, 2)
	require.Contains(t, audit.Entries[0].Detail, "replica 0000000000000002 127.0.0.1:2: requested")
	require.False(t, audit.Entries[1].Accepted)
}

// A backup of one cluster is restored into a new one, and a cluster that has a
// configuration rejects it.
func TestBackupCommands(t *testing.T) {
	source, target := startControl(t), startControl(t)
	dir := writeConfig(t, map[string]string{"base.ini": "[service alert-core]\n"})
	var reply adminapi.ChangeReply
	source.json(&reply, "config", "apply", dir)
	file := filepath.Join(t.TempDir(), "backup")
	var report backupReport
	source.json(&report, "control", "backup", file)
	code, _, stderr := source.run("control", "backup", file)
	require.Equal(t, ExitUsage, code, stderr)

	var restored adminapi.RestoreReply
	target.json(&restored, "control", "restore", file)
	var status adminapi.ConfigStatus
	target.json(&status, "config", "status")
	require.Equal(t, restored.Index, status.Version.Index)
	require.Equal(t, reply.Digest, status.Version.Digest)
	code, _, stderr = source.run("control", "restore", file)
	require.Equal(t, ExitNotRun, code, stderr)
}
