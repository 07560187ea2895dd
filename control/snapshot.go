package control

import (
	"fmt"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// State is the complete state of a Machine in canonical order.
type State struct {
	Format   uint32               `msg:"f"`
	Now      int64                `msg:"t"`
	Index    uint64               `msg:"i"`
	Sections []wire.ConfigSection `msg:"s"`
	// History holds the versions in format 1.
	History  VersionList   `msg:"h"`
	Ops      []OpRecord    `msg:"o"`
	Claims   []ClaimRecord `msg:"c"`
	Audit    []AuditEntry  `msg:"a"`
	Anchor   Hash          `msg:"n"`
	AuditSeq uint64        `msg:"q"`
	// Staged holds the parts received so far of a backup being restored, up to
	// maxBackupSize bytes.
	Staged    []byte `msg:"b,limit=268435456"`
	StagedSum Hash   `msg:"u"`
	// Published is the published document with the highest version.
	Published Published `msg:"p"`
	// DomainOrders holds the last order for each failure domain, sorted by domain.
	DomainOrders []DomainOrder `msg:"d"`
	// Stored holds the versions in later formats.
	Stored []StoredVersion `msg:"k,omitempty"`
}

// Snapshot returns the encoded state. Machines that applied the same commands
// return the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := State{
		Format: m.format, Now: m.now, Index: m.index,
		Sections: m.configs.doc.Sections(), Ops: m.configs.ops,
		Claims: m.claims.records(),
		Audit:  m.auditLog.entries, Anchor: m.auditLog.anchor, AuditSeq: m.auditLog.seq,
		Staged: m.staged.data, StagedSum: m.staged.sum,
		Published: m.published, DomainOrders: m.domainOrders,
	}
	s.setVersions(m.configs.history.versions)
	b, err := s.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("control: encode snapshot: %w", err)
	}
	return b, nil
}

// setVersions sets the field that holds the versions in the state's format.
func (s *State) setVersions(versions []StoredVersion) {
	s.History, s.Stored = VersionList{}, nil
	if s.Format == formatUnbounded {
		s.History.Stored = versions
		return
	}
	s.Stored = versions
}

// versions returns the versions of the history, oldest first.
func (s *State) versions() []StoredVersion {
	if s.Format == formatUnbounded {
		return s.History.Stored
	}
	return s.Stored
}

// Restore replaces the state with the one in a snapshot. On error the state is
// unchanged.
func (m *Machine) Restore(index uint64, snapshot []byte) error {
	var s State
	if err := s.decode(snapshot, LatestFormat); err != nil {
		return fmt.Errorf("control: restore snapshot %d: %w", index, err)
	}
	configs, err := s.restoreConfigs()
	if err != nil {
		return fmt.Errorf("control: restore snapshot %d: %w", index, err)
	}
	m.install(index, &s, configs)
	return nil
}

// decode decodes a snapshot up to a format and verifies its audit trail.
func (s *State) decode(snapshot []byte, latest uint32) error {
	rest, err := s.UnmarshalMsg(snapshot)
	if err != nil {
		return err
	}
	if len(rest) > 0 || s.Format < formatUnbounded || s.Format > latest {
		return fmt.Errorf("format %d with %d bytes too many, want format %d", s.Format, len(rest), latest)
	}
	return VerifyAudit(s.Anchor, s.Audit)
}

// restoreConfigs returns the configuration and its history after validating the
// sections and their digest.
func (s *State) restoreConfigs() (*configs, error) {
	doc, err := fleet.FromSections(s.Sections)
	if err != nil {
		return nil, err
	}
	c := newConfigs()
	c.doc, c.history = doc, newHistory(s.versions())
	if err := c.loadInForce(); err != nil {
		return nil, err
	}
	if got := c.current().Digest; got != doc.Digest() {
		return nil, fmt.Errorf("configuration has digest %x, want %x", doc.Digest(), got)
	}
	for _, r := range s.Ops {
		c.recordOp(r)
	}
	return c, nil
}

// loadInForce verifies the history and loads the description of the version in force
// from it.
func (c *configs) loadInForce() error {
	if err := c.history.verify(); err != nil {
		return err
	}
	for v := range c.history.newestFirst() {
		c.inForce = v.Info
		break
	}
	return nil
}

func (m *Machine) install(index uint64, s *State, c *configs) {
	m.mu.Lock()
	before := m.configs.current().Index
	m.index = max(index, s.Index)
	m.now = 0
	m.loadState(s, c, s.Format)
	m.staged = stagedBackup{sum: s.StagedSum, data: s.Staged}
	after := c.current().Index
	m.mu.Unlock()
	if after != before {
		m.onConfigChange(after)
	}
}

// loadState replaces configuration, claims, orders and audit trail with those of a
// state, under a format that may be another one than the state's. The machine's time
// does not go backwards.
func (m *Machine) loadState(s *State, c *configs, format uint32) {
	m.keepReached()
	m.now, m.configs, m.published, m.domainOrders = max(m.now, s.Now), c, s.Published, s.DomainOrders
	m.auditLog = newAuditLog(s.Anchor, s.AuditSeq, s.Audit)
	m.claims = newClaims()
	for i := range s.Claims {
		m.claims.insert(&s.Claims[i])
	}
	m.setFormat(format)
}
