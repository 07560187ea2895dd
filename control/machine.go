package control

import (
	"fmt"
	"strings"
	"sync"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// Machine is the replicated state of the control hosts. The replica calls Apply,
// Snapshot and Restore in the order of the log; the other methods may be called
// concurrently.
type Machine struct {
	mu       sync.RWMutex
	now      int64
	index    uint64
	format   uint32
	configs  *configs
	claims   *claims
	auditLog *auditLog
	staged   stagedBackup
	// published is the published document with the highest version.
	published      Published
	domainOrders   domainOrders
	pushes         pushCache
	limitsOf       func(source []byte) []wire.ConfigPair
	onConfigChange func(index uint64)
	// reached and snapshotDue are not part of the replicated state.
	reached     reached
	snapshotDue bool
}

// NewMachine returns an empty machine. When the version in force changes, the
// machine calls onConfig with the new index. onConfig may be nil and must not
// block.
func NewMachine(onConfig func(index uint64)) *Machine {
	if onConfig == nil {
		onConfig = func(uint64) {}
	}
	m := &Machine{onConfigChange: onConfig}
	m.clear()
	return m
}

// SetLimitsOf sets the function that returns the limits of requests in the source of a
// published document, which are part of each push. It is called before the first push.
func (m *Machine) SetLimitsOf(limitsOf func(source []byte) []wire.ConfigPair) { m.limitsOf = limitsOf }

// clear sets the state of a new cluster.
func (m *Machine) clear() {
	m.now, m.index = 0, 0
	m.configs, m.claims, m.auditLog = newConfigs(), newClaims(), newAuditLog(Hash{}, 0, nil)
	m.staged, m.published, m.domainOrders = stagedBackup{}, Published{}, nil
	m.setFormat(formatUnbounded)
}

// Reset clears the state, for a host whose replica starts again from an empty
// log. It does not call onConfig.
func (m *Machine) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keepReached()
	m.clear()
}

// Apply executes one command of the log and returns the encoded Reply. A command
// that can't be decoded changes nothing and gets a Reply with the reason. It is
// not an error, because every replica must reach the same state.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	before := m.configs.current().Index
	reply := m.apply(index, command)
	after := m.configs.current().Index
	m.mu.Unlock()
	if after != before {
		m.onConfigChange(after)
	}
	b, err := reply.MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("control: apply %d: encode reply: %v", index, err))
	}
	return b
}

func (m *Machine) apply(index uint64, command []byte) *Reply {
	m.index = index
	cmd, err := decodeCommand(command)
	if err != nil {
		return &Reply{Refusal: err.Error()}
	}
	m.now = max(m.now, cmd.At)
	switch {
	case cmd.Apply != nil:
		return m.changeConfig(index, m.configs.applyRequest(cmd.Apply))
	case cmd.Rollback != nil:
		return m.changeConfig(index, m.configs.rollbackRequest(cmd.Rollback))
	case cmd.Claim != nil:
		return &Reply{Claim: m.claims.claim(m.now, cmd.Claim, m.claimLimit(cmd.Claim.Team))}
	case cmd.Resolve != nil:
		m.claims.resolve(m.now, cmd.Resolve)
		return &Reply{}
	case cmd.Publish != nil:
		return &Reply{Publish: m.publish(index, cmd.Publish)}
	case cmd.Evacuate != nil:
		return &Reply{Evacuate: m.evacuate(index, cmd.Evacuate)}
	case cmd.Upgrade != nil:
		return m.upgrade(cmd.Upgrade)
	case cmd.Restore != nil:
		reply := m.restore(index, cmd.Restore)
		return &Reply{Restore: &reply}
	}
	m.addNote(index, cmd.Note)
	return &Reply{}
}

func (m *Machine) changeConfig(index uint64, req request) *Reply {
	reply, isNew := m.configs.change(index, m.now, req)
	if isNew {
		m.auditChange(index, req, reply)
	}
	return &Reply{Change: &reply}
}

func (m *Machine) auditChange(index uint64, req request, reply ChangeReply) {
	e := AuditEntry{
		Index: index, At: m.now, By: req.by, Action: "config " + strings.Fields(req.action)[0], Op: req.op,
		Accepted: reply.Accepted, Digest: m.configs.doc.Digest(),
	}
	if reply.Accepted {
		e.Detail = fmt.Sprintf("%s: version %d replaces %d; %s", req.action, reply.Index, req.base,
			strings.Join(m.configs.current().Changed, " "))
	} else {
		e.Detail = fmt.Sprintf("%s over version %d", req.action, req.base)
		e.Reason = string(reply.Refusal) + ": " + reply.Detail
	}
	m.auditLog.add(e)
}

func (m *Machine) addNote(index uint64, n *Note) {
	m.auditLog.add(AuditEntry{
		Index: index, At: m.now, By: n.By, Action: n.Action, Op: n.Op, Detail: n.Detail,
		Accepted: n.Accepted, Reason: n.Reason, Digest: m.configs.doc.Digest(),
	})
}

// claimLimit returns the number of claims that a team may hold: zero for a team
// without a section.
func (m *Machine) claimLimit(team string) int {
	return int(m.configs.claimLimits()[team])
}

// Index returns the position of the last command applied.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Stamp returns the index and digest of the configuration in force.
func (m *Machine) Stamp() wire.Stamp {
	m.mu.RLock()
	defer m.mu.RUnlock()
	cur := m.configs.current()
	return wire.Stamp{Index: cur.Index, Digest: cur.Digest}
}

// Current returns the version in force and its document.
func (m *Machine) Current() (VersionInfo, *fleet.Document) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configs.current(), m.configs.doc
}

// DocumentAt returns the document of a version, or nil if the version is not in
// the history.
func (m *Machine) DocumentAt(index uint64) *fleet.Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.configs.at(index)
}

// Push returns the message that updates a process from version have to the
// version in force. It is a difference if the history contains have, and the
// whole document otherwise.
func (m *Machine) Push(have uint64) *wire.ConfigPush {
	m.mu.RLock()
	defer m.mu.RUnlock()
	push := m.pushes.get(m.configs.doc, have, m.computePush)
	return &push
}

func (m *Machine) computePush(have uint64) wire.ConfigPush {
	var from *fleet.Document
	if have != 0 {
		from = m.configs.at(have)
	}
	push := m.configs.doc.Push(m.configs.current().Index, from, have)
	if m.limitsOf != nil && m.published.Version != 0 {
		push.Limits = m.limitsOf(m.published.Source)
	}
	return *push
}

// History returns up to limit versions, newest first; limit 0 means all. It ends at a
// stored version that can't be read.
func (m *Machine) History(limit int) []VersionInfo {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []VersionInfo
	for v, err := range m.configs.history.newestFirst() {
		if err != nil || limit > 0 && len(out) == limit {
			break
		}
		out = append(out, v.Info)
	}
	return out
}

// Audit returns the audit entries that match f, oldest first.
func (m *Machine) Audit(f AuditFilter) []AuditEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.auditLog.selectEntries(f)
}

// VerifyAudit verifies the hash chain of the stored audit entries.
func (m *Machine) VerifyAudit() error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return VerifyAudit(m.auditLog.anchor, m.auditLog.entries)
}
