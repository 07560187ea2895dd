package controld

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wire"
)

// stallingDisk is a file system whose syncs wait while it is stalled.
type stallingDisk struct {
	wal.OS
	stalled sync.RWMutex
}

// stall makes all later syncs wait until resume is called.
func (d *stallingDisk) stall() (resume func()) {
	d.stalled.Lock()
	return sync.OnceFunc(d.stalled.Unlock)
}

// Create implements wal.FS.
func (d *stallingDisk) Create(name string) (wal.File, error) {
	f, err := d.OS.Create(name)
	return stallingFile{f, d}, err
}

// Append implements wal.FS.
func (d *stallingDisk) Append(name string) (wal.File, error) {
	f, err := d.OS.Append(name)
	return stallingFile{f, d}, err
}

type stallingFile struct {
	wal.File
	disk *stallingDisk
}

// Sync implements wal.File.
func (f stallingFile) Sync() error {
	f.disk.stalled.RLock()
	defer f.disk.stalled.RUnlock()
	return f.File.Sync()
}

// The disk of a follower stalls while a change is accepted. The follower still hears
// from its leader, so that it counts as fresh. A restarted entry that reaches it first
// must not begin with the configuration from before the change.
func TestRestartedEntryTakesNoOldConfigFromStalledHost(t *testing.T) {
	c := startCluster(t, 3)
	first := change(t, c.hosts[0].Host, "op-first", 0, 1)
	stalled := (c.leader() + 1) % len(c.hosts)
	eventually(t, "all hosts are fresh and have the first change", func() bool {
		for _, h := range c.hosts {
			if !h.fresh.Load() || h.machine.Stamp().Index != first.Index {
				return false
			}
		}
		return true
	})
	running := startProcess(t, c.authority, wire.RoleEntry, "entry-1", c.addrs...)
	eventually(t, "in force", func() bool { return running.index() == first.Index })

	resume := c.disks[stalled].stall()
	defer resume()
	second := change(t, c.hosts[c.leader()].Host, "op-second", first.Index, 2)
	eventually(t, "in force at the running entry", func() bool { return running.index() == second.Index })
	require.True(t, c.hosts[stalled].fresh.Load())
	require.Equal(t, first.Index, c.hosts[stalled].machine.Stamp().Index)

	restarted := startProcess(t, c.authority, wire.RoleEntry, "entry-2", c.addrs[stalled])
	eventually(t, "the stalled host knows the restarted entry", func() bool { return running.hasMember("entry-2") })
	resume()
	eventually(t, "in force at the restarted entry", func() bool { return restarted.index() == second.Index })
	indices, _ := restarted.received()
	require.Equal(t, []uint64{second.Index}, indices)
}
