package control

import (
	"crypto/sha256"
	"fmt"
)

const (
	// restorePartSize is the size of one part of a backup in the log, in bytes.
	restorePartSize = 256 << 10
	// restoredVersionGap is added to the version of a restored configuration, so that
	// it is above every version that was accepted after the backup was made.
	restoredVersionGap = 1 << 20
	// maxBackupSize bounds a backup, in bytes.
	maxBackupSize = 256 << 20
)

// Restore carries one part of a backup. The last part puts the backup into
// force.
type Restore struct {
	By Operator `msg:"w"`
	// Sum is the SHA-256 of the whole backup.
	Sum    Hash   `msg:"s"`
	Offset uint64 `msg:"o"`
	Data   []byte `msg:"d"`
	Last   bool   `msg:"l"`
}

// RestoreReply answers a Restore.
type RestoreReply struct {
	// Refusal says why the part was not taken; empty if it was.
	Refusal string `msg:"r"`
	// Index is the version of the restored configuration after the last part.
	Index uint64 `msg:"i"`
}

// RestoreParts checks a backup and cuts it into commands.
func RestoreParts(backup []byte, by Operator) ([]*Restore, error) {
	var s State
	if err := s.decode(backup); err != nil {
		return nil, fmt.Errorf("control: read backup: %w", err)
	}
	if len(backup) > maxBackupSize {
		return nil, fmt.Errorf("control: a backup of %d bytes is over the limit of %d", len(backup), maxBackupSize)
	}
	var parts []*Restore
	for offset := 0; offset < len(backup); offset += restorePartSize {
		end := min(offset+restorePartSize, len(backup))
		parts = append(parts, &Restore{
			By: by, Sum: sha256.Sum256(backup), Offset: uint64(offset), Data: backup[offset:end], Last: end == len(backup),
		})
	}
	return parts, nil
}

// stagedBackup is a backup that is being restored.
type stagedBackup struct {
	sum  Hash
	data []byte
}

// restore takes one part. Part 0 starts over; a part that was taken already is
// confirmed again.
func (m *Machine) restore(index uint64, r *Restore) RestoreReply {
	if cur := m.configs.current(); cur.Index != 0 || len(m.claims.byKey) > 0 {
		if r.Last && m.staged.sum == r.Sum && cur.Action == restoreAction {
			return RestoreReply{Index: cur.Index}
		}
		return m.refuseRestore(index, r, "only a cluster without configuration and claims takes a backup")
	}
	if r.Offset == 0 {
		m.staged = stagedBackup{sum: r.Sum}
	}
	held := uint64(len(m.staged.data))
	switch {
	case m.staged.sum != r.Sum || r.Offset > held || held+uint64(len(r.Data)) > maxBackupSize:
		return m.refuseRestore(index, r, "the part does not follow the one before it")
	case r.Offset == held:
		m.staged.data = append(m.staged.data, r.Data...)
	}
	if !r.Last {
		return RestoreReply{}
	}
	return m.finishRestore(index, r)
}

// restoreAction is the action of the version that a restore makes.
const restoreAction = "restore"

func (m *Machine) finishRestore(index uint64, r *Restore) RestoreReply {
	backup := m.staged.data
	m.staged.data = nil
	var s State
	if sha256.Sum256(backup) != r.Sum {
		return m.refuseRestore(index, r, "the backup is damaged")
	}
	if err := s.decode(backup); err != nil {
		return m.refuseRestore(index, r, err.Error())
	}
	configs, err := s.restoreConfigs()
	if err != nil {
		return m.refuseRestore(index, r, err.Error())
	}
	m.loadState(&s, configs)
	info := configs.addRestoredVersion(m.now, r.By)
	m.auditLog.add(AuditEntry{
		Index: index, At: m.now, By: r.By, Action: "control " + restoreAction, Accepted: true, Digest: info.Digest,
		Detail: fmt.Sprintf("backup of version %d is in force as version %d", info.Base, info.Index),
	})
	return RestoreReply{Index: info.Index}
}

// addRestoredVersion gives the configuration in force a version above all that may have
// been accepted after the backup.
func (c *configs) addRestoredVersion(now int64, by Operator) VersionInfo {
	cur := c.current()
	info := VersionInfo{
		Index: cur.Index + restoredVersionGap, Digest: c.doc.Digest(), Base: cur.Index, By: by, At: now, Action: restoreAction,
	}
	c.addVersion(Version{Info: info})
	return info
}

func (m *Machine) refuseRestore(index uint64, r *Restore, reason string) RestoreReply {
	m.auditLog.add(AuditEntry{
		Index: index, At: m.now, By: r.By, Action: "control " + restoreAction, Reason: reason, Digest: m.configs.doc.Digest(),
		Detail: fmt.Sprintf("part at %d of backup %s", r.Offset, r.Sum),
	})
	return RestoreReply{Refusal: reason}
}
