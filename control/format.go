package control

import "fmt"

// The formats of the replicated state. A format decides what a command changes, so all
// replicas must apply a command under the same one: the leader raises it by a command
// once every member supports the next. A build that knows only an earlier format can't
// load a snapshot of a later one.
const (
	// formatUnbounded bounds history, operations and audit trail by number only.
	formatUnbounded uint32 = 1
	// formatBounded also bounds them in bytes.
	formatBounded uint32 = 2
	// LatestFormat is the latest format that this build supports.
	LatestFormat = formatBounded
)

// Upgrade raises the format of the state. It changes nothing if that format or a later
// one is in force.
type Upgrade struct {
	Format uint32 `msg:"f"`
}

// Format returns the format of the state.
func (m *Machine) Format() uint32 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.format
}

// StartAtLatestFormat puts the latest format in force in an empty state that has no other
// replica.
func (m *Machine) StartAtLatestFormat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setFormat(LatestFormat)
}

// upgrade puts a later format in force. A format that this build doesn't support is
// refused; the leader never proposes one that a member doesn't support.
func (m *Machine) upgrade(u *Upgrade) *Reply {
	if u.Format > LatestFormat {
		return &Reply{Refusal: fmt.Sprintf("state format %d is not supported", u.Format)}
	}
	if u.Format <= m.format {
		return &Reply{}
	}
	m.setFormat(u.Format)
	m.snapshotDue = true
	return &Reply{}
}

// setFormat applies the bounds of a format to all parts of the state. Claims are not
// dropped; no claim is granted until they are within their bound.
func (m *Machine) setFormat(format uint32) {
	b := boundsOf(format)
	m.format = format
	m.configs.bounds, m.auditLog.bounds, m.claims.bounds = b, b, b
	m.configs.trim()
	m.auditLog.trim()
}

// SnapshotDue reports whether the state has shrunk so much that a snapshot should
// replace the last one soon. It reports this once.
func (m *Machine) SnapshotDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.snapshotDue
	m.snapshotDue = false
	return due
}
