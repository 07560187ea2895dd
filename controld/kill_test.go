package controld

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// killTestChanges is how many changes TestKill makes; a process is killed at each
// killEvery of them.
const (
	killTestChanges = 40
	killInterval    = 8
)

// controlProcesses are control hosts as separate processes.
type controlProcesses struct {
	t        *testing.T
	dir      string
	binary   string
	peers    []string
	admins   []string
	commands []*exec.Cmd
	client   *adminapi.Client
}

func startControlProcesses(t *testing.T) *controlProcesses {
	t.Helper()
	d := &controlProcesses{t: t, dir: t.TempDir(), commands: make([]*exec.Cmd, 3)}
	d.binary = filepath.Join(d.dir, "fireflytray-control")
	out, err := exec.Command("go", "build", "-o", d.binary, "github.com/fireflytray/fireflytray/cmd/fireflytray-control").CombinedOutput()
	require.NoError(t, err, string(out))
	require.NoError(t, keys.Init(filepath.Join(d.dir, "authority")))
	for range d.commands {
		d.peers, d.admins = append(d.peers, freeAddr(t)), append(d.admins, freeAddr(t))
	}
	for i := range d.commands {
		d.issue(wire.RoleControl, controlID(i))
		d.start(i)
	}
	id, err := keys.Load(d.issue(wire.RoleOperator, "astrid"))
	require.NoError(t, err)
	d.client = adminapi.NewClient(id, d.admins)
	t.Cleanup(func() {
		for i := range d.commands {
			d.kill(i)
		}
	})
	return d
}

func controlID(i int) string { return fmt.Sprint("control-", i) }

func (d *controlProcesses) issue(role wire.Role, id string) string {
	folder := filepath.Join(d.dir, id+".keys")
	n := keys.Name{Role: role, ID: id, Domain: "sv-a"}
	require.NoError(d.t, keys.Issue(filepath.Join(d.dir, "authority"), n, keys.DefaultValidity, folder))
	return folder
}

// start starts process i on its data folder.
func (d *controlProcesses) start(i int) {
	d.t.Helper()
	text := fmt.Sprintf("[process]\nid = %s\ndomain = sv-a\nsite = svealand\n[keys]\nfolder = %s.keys\n"+
		"[listen]\npeers = %s\nadmin = %s\n[data]\nfolder = %s.data\n[cluster]\ninitial = %s, %s, %s\n",
		controlID(i), controlID(i), d.peers[i], d.admins[i], controlID(i), d.peers[0], d.peers[1], d.peers[2])
	file := filepath.Join(d.dir, controlID(i)+".ini")
	require.NoError(d.t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(d.binary, "--config", file)
	require.NoError(d.t, cmd.Start())
	d.commands[i] = cmd
}

// kill ends process i by SIGKILL.
func (d *controlProcesses) kill(i int) {
	_ = d.commands[i].Process.Kill()
	_ = d.commands[i].Wait()
}

// post sends a request until it is answered.
func (d *controlProcesses) post(path string, in, out any) {
	d.t.Helper()
	eventually(d.t, path, func() bool { return d.client.Post(context.Background(), path, in, out) == nil })
}

func (d *controlProcesses) get(path string, out any) {
	d.t.Helper()
	eventually(d.t, path, func() bool { return d.client.Get(context.Background(), path, "", out) == nil })
}

// leader returns the process that leads.
func (d *controlProcesses) leader() int {
	var list adminapi.ControlReply
	d.get(adminapi.PathControl, &list)
	for _, m := range list.Members {
		for i, addr := range d.peers {
			if m.Leader && m.Addr == addr {
				return i
			}
		}
	}
	return 0
}

func (d *controlProcesses) apply(op string, base uint64, maxTasks int) adminapi.ChangeReply {
	d.t.Helper()
	var reply adminapi.ChangeReply
	d.post(adminapi.PathApply, adminapi.ApplyRequest{Op: op, Base: base, Sources: []adminapi.Source{
		{File: "base.ini", Text: fmt.Sprintf("[service alert-core]\nmax-tasks = %d\n", maxTasks)},
	}}, &reply)
	return reply
}

// Control hosts as separate processes, killed by SIGKILL during a stream of
// changes, each sent again until it is answered, while a second operator races
// it: the audit trail has what was answered as accepted, in that order, nothing
// else, and its hash chain is whole.
func TestChangesSurviveSIGKILL(t *testing.T) {
	d := startControlProcesses(t)
	var base uint64
	var accepted []string
	for n := range killTestChanges {
		victim := -1
		var killed sync.WaitGroup
		if n%killInterval == killInterval/2 {
			victim = d.leader()
			killed.Go(func() { d.kill(victim) })
		}
		reply := d.apply(fmt.Sprint("op-", n), base, n+1)
		require.True(t, reply.Accepted, reply.Detail)
		late := d.apply(fmt.Sprint("late-", n), base, 999)
		require.False(t, late.Accepted)
		base, accepted = reply.Index, append(accepted, fmt.Sprint("op-", n))
		if killed.Wait(); victim >= 0 {
			d.start(victim)
		}
	}
	var audit adminapi.AuditReply
	eventually(t, "a fresh audit trail", func() bool {
		d.get(adminapi.PathAudit, &audit)
		return audit.Fresh
	})
	require.True(t, audit.Verified, audit.Problem)
	var got []string
	for _, e := range audit.Entries {
		if e.Accepted {
			got = append(got, e.Op)
		}
	}
	require.Equal(t, accepted, got)
}
