package command

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
)

// An operator evacuates a failure domain, finds it in every view, applies the text of
// the version in force again, and takes the domain back.
func TestEvacuationCommands(t *testing.T) {
	op := startControl(t)
	first := writeConfig(t, map[string]string{"base.ini": "[service alert-core]\nmax-tasks = 10\n"})
	var applied adminapi.ChangeReply
	op.json(&applied, "config", "apply", first)

	var reply, again adminapi.EvacuationReply
	op.json(&reply, "evacuate", "sv-a")
	require.True(t, reply.Evacuated)
	require.Greater(t, reply.Index, applied.Index)
	op.json(&again, "evacuate", "sv-a")
	require.Equal(t, reply.Index, again.Index)

	var list adminapi.EvacuationsReply
	op.json(&list, "evacuations")
	require.Len(t, list.Evacuations, 1)
	require.Equal(t, "sv-a", list.Evacuations[0].Domain)
	require.Equal(t, "astrid", list.Evacuations[0].By)
	require.Equal(t, reply.Index, list.Evacuations[0].Version)
	require.Equal(t, 1, list.Evacuations[0].Processes)
	require.Zero(t, list.Evacuations[0].Behind)
	code, text, _ := op.run("evacuations")
	require.Equal(t, ExitOK, code)
	require.Contains(t, text, "DOMAIN  BY      FROM")
	var fleet adminapi.FleetReply
	op.json(&fleet, "status")
	require.True(t, fleet.Processes[0].Evacuated)

	var diff adminapi.Difference
	op.json(&diff, "config", "diff", first)
	require.Empty(t, diff.Sections)
	code, text, _ = op.run("config", "show")
	require.Equal(t, ExitOK, code)
	require.Contains(t, text, "# failure domain sv-a is evacuated\n[service alert-core]\n")
	op.json(&applied, "config", "apply", writeConfig(t, map[string]string{"base.ini": text}))
	op.json(&list, "evacuations")
	require.Len(t, list.Evacuations, 1)

	op.json(&struct{}{}, "take-back", "sv-a", "--wait")
	list = adminapi.EvacuationsReply{}
	op.json(&list, "evacuations")
	require.Empty(t, list.Evacuations)
	var audit adminapi.AuditReply
	op.json(&audit, "audit", "--action", "domain evacuate")
	require.Len(t, audit.Entries, 2)
}

func TestEvacuationExitCodes(t *testing.T) {
	op := startControl(t)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"evacuate", "a/b"}, ExitUsage, `"a/b" can't name a failure domain`},
		// The control host has just started.
		{[]string{"evacuate", "sv-x", "--timeout", "100ms"}, ExitUnavailable, "not known yet"},
		{[]string{"evacuate"}, ExitUsage, "the required argument `domain` was not provided"},
		{[]string{"take-back", "sv-a"}, ExitOK, ""},
	} {
		code, _, stderr := op.run(c.args...)
		require.Equal(t, c.code, code, "%s: %s", c.args, stderr)
		require.Contains(t, stderr, c.want)
	}
	orders := writeConfig(t, map[string]string{"base.ini": "[domain sv-a]\nevacuated = true\n"})
	for _, command := range []string{"apply", "diff"} {
		code, _, stderr := op.run("config", command, orders)
		require.Equal(t, ExitUsage, code, stderr)
		require.Contains(t, stderr, "base.ini:1: [domain sv-a]: orders for failure domains are not part of the files; valid: the commands fireflytray evacuate")
	}
}
