package control

import (
	"crypto/sha256"
	"fmt"
)

const (
	// restorePartSize is the size of a part of a backup in the log, in bytes.
	restorePartSize = 256 << 10
	// restoredVersionGap is added to the version of a restored configuration, so
	// that it is above every version accepted after the backup was made.
	restoredVersionGap = 1 << 20
	// maxBackupSize bounds the size of a backup in format 1, in bytes.
	maxBackupSize = 256 << 20
)

// Restore carries one part of a backup. The last part puts the whole backup in
// force.
type Restore struct {
	By Operator `msg:"w"`
	// Sum is the SHA-256 of the whole backup.
	Sum    Hash   `msg:"s"`
	Offset uint64 `msg:"o"`
	Data   []byte `msg:"d"`
	Last   bool   `msg:"l"`
}

// RestoreReply is the reply to a Restore.
type RestoreReply struct {
	// Refusal is the reason why the part was refused; empty if it was accepted.
	Refusal string `msg:"r"`
	// Index is the version of the restored configuration after the last part.
	Index uint64 `msg:"i"`
}

// RestoreParts validates a backup and splits it into commands. What exceeds the bounds
// of the latest format is left out.
func RestoreParts(backup []byte, by Operator) ([]*Restore, error) {
	backup, err := boundedBackup(backup)
	if err != nil {
		return nil, fmt.Errorf("control: read backup: %w", err)
	}
	if limit := boundsOf(LatestFormat).backup; len(backup) > limit {
		return nil, fmt.Errorf("control: a backup of %d bytes is over the limit of %d", len(backup), limit)
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

// boundedBackup returns a backup within the bounds of the latest format, in the format
// that every build reads. A backup that already is both is returned unchanged.
func boundedBackup(backup []byte) ([]byte, error) {
	var s State
	if err := s.decode(backup, LatestFormat); err != nil {
		return nil, err
	}
	c, err := s.restoreConfigs()
	if err != nil {
		return nil, err
	}
	m := NewMachine(nil)
	m.loadState(&s, c, LatestFormat)
	if s.Format == formatUnbounded && m.reached == (reached{}) && c.history.dropped+c.opsDropped+m.auditLog.dropped == 0 {
		return backup, nil
	}
	m.format, m.index = formatUnbounded, s.Index
	return m.Snapshot()
}

// stagedBackup is a backup that is being restored.
type stagedBackup struct {
	sum  Hash
	data []byte
}

// restore handles one part. The part at offset 0 starts a new restore; a part that
// was already received is acknowledged again.
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
	received := uint64(len(m.staged.data))
	switch {
	case m.staged.sum != r.Sum || r.Offset > received || received+uint64(len(r.Data)) > uint64(boundsOf(m.format).backup):
		return m.refuseRestore(index, r, "the part does not follow the one before it")
	case r.Offset == received:
		m.staged.data = append(m.staged.data, r.Data...)
	}
	if !r.Last {
		return RestoreReply{}
	}
	return m.finishRestore(index, r)
}

// restoreAction is the action of the version that a restore creates.
const restoreAction = "restore"

// finishRestore verifies the complete backup and puts it in force.
func (m *Machine) finishRestore(index uint64, r *Restore) RestoreReply {
	backup := m.staged.data
	m.staged.data = nil
	var s State
	if sha256.Sum256(backup) != r.Sum {
		return m.refuseRestore(index, r, "the backup is damaged")
	}
	if err := s.decode(backup, m.format); err != nil {
		return m.refuseRestore(index, r, err.Error())
	}
	configs, err := s.restoreConfigs()
	if err != nil {
		return m.refuseRestore(index, r, err.Error())
	}
	m.loadState(&s, configs, m.format)
	info := configs.addRestoredVersion(m.now, r.By)
	m.auditLog.add(AuditEntry{
		Index: index, At: m.now, By: r.By, Action: "control " + restoreAction, Accepted: true, Digest: info.Digest,
		Detail: fmt.Sprintf("backup of version %d is in force as version %d", info.Base, info.Index),
	})
	return RestoreReply{Index: info.Index}
}

// addRestoredVersion gives the configuration in force a version above all versions
// that may have been accepted after the backup was made.
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
