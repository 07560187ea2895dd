package command

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// result is what one command line gave.
type result struct {
	code           int
	stdout, stderr string
}

func run(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Main(args, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// Exit codes and messages of wrong command lines.
func TestWrongCommandLines(t *testing.T) {
	dir := t.TempDir()
	require.Equal(t, ExitOK, run("keys", "init", "--authority", dir+"/ca").code)
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"no command":        {nil, ExitUsage, "Please specify one command"},
		"unknown command":   {[]string{"fly"}, ExitUsage, "Unknown command `fly'"},
		"unknown option":    {[]string{"version", "--fast"}, ExitUsage, "unknown flag `fast'"},
		"unknown role":      {[]string{"keys", "issue", "--role", "queen", "--id", "a", "--domain", "b", "--out", dir}, ExitUsage, "entry, agent, control or operator"},
		"malformed id":      {[]string{"keys", "issue", "--role", "agent", "--id", "a/b", "--domain", "b", "--out", dir}, ExitUsage, `process id "a/b": want`},
		"authority exists":  {[]string{"keys", "init", "--authority", dir + "/ca"}, ExitNotRun, "an authority is never replaced"},
		"no authority":      {[]string{"keys", "issue", "--authority", dir + "/no", "--role", "agent", "--id", "a", "--domain", "b", "--out", dir}, ExitFailed, "open authority"},
		"nothing to renew":  {[]string{"keys", "renew", "--authority", dir + "/ca", dir + "/no"}, ExitFailed, "keys: load"},
		"unknown shell":     {[]string{"completion", "csh"}, ExitUsage, `want bash or zsh`},
		"argument too many": {[]string{"version", "now"}, ExitUsage, `unexpected argument "now"`},
	} {
		t.Run(name, func(t *testing.T) {
			r := run(c.args...)
			require.Equal(t, c.code, r.code, r.stderr)
			require.Contains(t, r.stderr, c.want)
			require.Empty(t, r.stdout)
		})
	}
}

// An issued certificate is renewed under the same name with a new key.
func TestKeysIssueAndRenew(t *testing.T) {
	dir := t.TempDir()
	require.Equal(t, ExitOK, run("keys", "init", "--authority", dir+"/ca").code)
	issued := run("--json", "keys", "issue", "--authority", dir+"/ca", "--role", "control",
		"--id", "control-1", "--domain", "regina", "--valid", "1h", "--out", dir+"/keys")
	require.Equal(t, ExitOK, issued.code, issued.stderr)
	var infos []identityInfo
	require.NoError(t, json.Unmarshal([]byte(issued.stdout), &infos))
	require.Len(t, infos, 1)
	require.Equal(t, "control-1", infos[0].ID)

	id, err := keys.Load(dir + "/keys")
	require.NoError(t, err)
	before := id.Expires()
	renewed := run("keys", "renew", "--authority", dir+"/ca", "--valid", "2h", dir+"/keys")
	require.Equal(t, ExitOK, renewed.code, renewed.stderr)
	require.Contains(t, renewed.stdout, "ROLE     ID         DOMAIN")
	require.NoError(t, id.Reload())
	require.True(t, id.Expires().After(before))
	require.Equal(t, keys.Name{Role: wire.RoleControl, ID: "control-1", Domain: "regina"}, id.Name())
}

// Arguments are taken one by one: an embedded struct would be one that is lost.
func TestControlAddTakesReplicaAndAddress(t *testing.T) {
	r := run("control", "add", "--help")
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Contains(t, r.stdout, "[add-OPTIONS] replica address")
}

// Help, version and completion go to standard output with status 0.
func TestInformationalCommands(t *testing.T) {
	for want, args := range map[string][]string{
		"Exit codes: 0 done":     {"--help"},
		"protocol":               {"version"},
		`"protocol": 1`:          {"version", "--json"},
		"complete -o default -F": {"completion", "bash"},
		"bashcompinit":           {"completion", "zsh"},
		"## fireflytray-agent":   {"settings"},
	} {
		r := run(args...)
		require.Equal(t, ExitOK, r.code, r.stderr)
		require.Contains(t, r.stdout, want)
	}
}
