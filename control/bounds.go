package control

import (
	"math"
	"unicode/utf8"

	"github.com/fireflytray/fireflytray/wire"
)

// bounds limits the parts of the state, in bytes. The sizes that they apply to are sums
// of the lengths of strings with a fixed overhead for each record, so that every build
// and every machine arrives at the same numbers.
type bounds struct {
	history, operations, audit, claims int
	// auditText limits each text of an audit entry.
	auditText int
	// backup limits a backup that is restored.
	backup int
}

// boundsOf returns the bounds of a state format. Those of format 2 add up to 42 MiB, so
// that two snapshots and the log fit on a disk of 128 MB.
func boundsOf(format uint32) bounds {
	if format < formatBounded {
		const none = math.MaxInt
		return bounds{history: none, operations: none, audit: none, claims: none, auditText: none, backup: maxBackupSize}
	}
	return bounds{
		history: 8 << 20, operations: 2 << 20, audit: 8 << 20, claims: 24 << 20,
		auditText: 2 << 10, backup: 64 << 20,
	}
}

// excess returns how many of the oldest items have to go until the rest is within a bound.
// total is the size of all; the last one always stays.
func excess[T any](items []T, total, bound int, size func(*T) int) int {
	n := 0
	for total > bound && n < len(items)-1 {
		total -= size(&items[n])
		n++
	}
	return n
}

// Overheads of a record and of a string in it, in bytes.
const (
	recordOverhead = 192
	stringOverhead = 4
)

func stringsSize(list ...string) int {
	size := 0
	for _, s := range list {
		size += stringOverhead + len(s)
	}
	return size
}

func sectionsSize(sections []wire.ConfigSection) int {
	size := 0
	for _, s := range sections {
		size += stringsSize(s.Site, s.Name)
		for _, p := range s.Keys {
			size += stringsSize(p.Key, p.Value)
		}
	}
	return size
}

func infoSize(v *VersionInfo) int {
	return recordOverhead + stringsSize(v.Op, v.By.Name, v.By.Addr, v.Action) + stringsSize(v.Changed...)
}

func versionSize(v *Version) int {
	return infoSize(&v.Info) + sectionsSize(v.Undo.Sections) + stringsSize(v.Undo.Removed...)
}

func operationSize(r *OpRecord) int {
	size := recordOverhead + stringsSize(r.Op, r.Reply.Detail)
	if r.Reply.Winner != nil {
		size += infoSize(r.Reply.Winner)
	}
	return size
}

func auditSize(e *AuditEntry) int {
	return recordOverhead + stringsSize(e.By.Name, e.By.Addr, e.Action, e.Op, e.Detail, e.Reason)
}

func claimSize(r *ClaimRecord) int {
	size := recordOverhead + stringsSize(r.Team, r.Service, r.Key)
	if r.Outcome != nil {
		size += outcomeSize(len(r.Outcome.Body), r.Outcome.Where)
	}
	return size
}

func outcomeSize(body int, where string) int { return body + stringsSize(where) }

// truncationMark ends a text that was cut.
const truncationMark = " ..."

// truncate cuts a text to limit bytes.
func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	end := max(0, limit-len(truncationMark))
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + truncationMark
}

// The parts of the state whose size is reported.
const (
	PartHistory    = "history"
	PartOperations = "operations"
	PartAudit      = "audit"
	PartClaims     = "claims"
	PartBackup     = "backup"
)

// Usage is the size of one part of the state.
type Usage struct {
	Part  string
	Items int
	Bytes int
	// Limit is the bound in bytes, or zero if the part has none.
	Limit int
	// Reached counts what was dropped or refused because of the bound since the
	// process started.
	Reached uint64
}

// Usage returns the sizes of the parts of the state.
func (m *Machine) Usage() []Usage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	b := boundsOf(m.format)
	list := []Usage{
		{PartHistory, len(m.configs.history.versions), m.configs.history.bytes, b.history, m.reached.history + m.configs.history.dropped},
		{PartOperations, len(m.configs.ops), m.configs.opBytes, b.operations, m.reached.operations + m.configs.opsDropped},
		{PartAudit, len(m.auditLog.entries), m.auditLog.bytes, b.audit, m.reached.audit + m.auditLog.dropped},
		{PartClaims, len(m.claims.byKey), m.claims.bytes, b.claims, m.reached.claims + m.claims.refused},
		{PartBackup, 1, len(m.staged.data), b.backup, 0},
	}
	for i := range list {
		if list[i].Limit == math.MaxInt {
			list[i].Limit = 0
		}
	}
	return list
}

// reached holds the counts of parts that a snapshot has replaced since.
type reached struct {
	history, operations, audit, claims uint64
}

// keepReached adds the counts of the current parts before they are replaced.
func (m *Machine) keepReached() {
	m.reached.history += m.configs.history.dropped
	m.reached.operations += m.configs.opsDropped
	m.reached.audit += m.auditLog.dropped
	m.reached.claims += m.claims.refused
}
