package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// maxAudit bounds the number of stored audit entries. The hash of the last dropped
// entry is the anchor of the chain.
const maxAudit = 20_000

// Hash is a link of the audit trail's hash chain.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// AuditEntry is one operator's action, accepted or refused.
type AuditEntry struct {
	// Seq is the number of the entry, counted from 1 without gaps.
	Seq uint64 `msg:"q"`
	// Index is the position in the replicated log.
	Index uint64 `msg:"i"`
	// At is the machine's time in milliseconds since 1970.
	At     int64    `msg:"t"`
	By     Operator `msg:"w"`
	Action string   `msg:"a"`
	// Op is the operation id, empty if the action has none.
	Op     string `msg:"o"`
	Detail string `msg:"d"`
	// Accepted reports whether the action was accepted; Reason describes why
	// it was refused.
	Accepted bool   `msg:"k"`
	Reason   string `msg:"r"`
	// Digest is the digest of the configuration in force after the action.
	Digest uint64 `msg:"g"`
	// Prev is the Hash of the previous entry; Hash covers all other fields.
	Prev Hash `msg:"p"`
	Hash Hash `msg:"h"`
}

// sum returns the hash over all fields except Hash.
func (e AuditEntry) sum() Hash {
	e.Hash = Hash{}
	b, err := e.MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("control: encode audit entry: %v", err))
	}
	return sha256.Sum256(b)
}

// VerifyAudit verifies the hash chain of consecutive entries. anchor is the hash
// of the entry that precedes the first.
func VerifyAudit(anchor Hash, entries []AuditEntry) error {
	for i, e := range entries {
		if e.Prev != anchor {
			return fmt.Errorf("control: audit entry %d does not follow the one before it", e.Seq)
		}
		if i > 0 && e.Seq != entries[i-1].Seq+1 {
			return fmt.Errorf("control: audit entry %d follows entry %d", e.Seq, entries[i-1].Seq)
		}
		if e.Hash != e.sum() {
			return fmt.Errorf("control: audit entry %d was changed after it was written", e.Seq)
		}
		anchor = e.Hash
	}
	return nil
}

// auditLog is the audit trail: the newest maxAudit entries of the hash chain.
type auditLog struct {
	entries []AuditEntry
	// anchor is the hash of the last dropped entry.
	anchor Hash
	seq    uint64
	// bytes is the total auditSize of entries; dropped counts those that were dropped
	// because of it.
	bytes   int
	dropped uint64
	bounds  bounds
}

func newAuditLog(anchor Hash, seq uint64, entries []AuditEntry) *auditLog {
	t := &auditLog{entries: entries, anchor: anchor, seq: seq, bounds: boundsOf(formatUnbounded)}
	for i := range entries {
		t.bytes += auditSize(&entries[i])
	}
	return t
}

// add appends an entry with its texts cut to the bound, and drops the oldest entries
// over maxAudit and the bound in bytes.
func (t *auditLog) add(e AuditEntry) {
	e.Detail, e.Reason = truncate(e.Detail, t.bounds.auditText), truncate(e.Reason, t.bounds.auditText)
	t.seq++
	e.Seq = t.seq
	e.Prev = t.anchor
	if n := len(t.entries); n > 0 {
		e.Prev = t.entries[n-1].Hash
	}
	e.Hash = e.sum()
	t.entries = append(t.entries, e)
	t.bytes += auditSize(&e)
	t.drop(max(0, len(t.entries)-maxAudit))
	t.trim()
}

// trim drops the oldest entries over the bound in bytes, but not the last one.
func (t *auditLog) trim() {
	n := excess(t.entries, t.bytes, t.bounds.audit, auditSize)
	t.dropped += uint64(n)
	t.drop(n)
}

func (t *auditLog) drop(n int) {
	if n == 0 {
		return
	}
	for i := range n {
		t.bytes -= auditSize(&t.entries[i])
	}
	t.anchor = t.entries[n-1].Hash
	t.entries = slices.Delete(t.entries, 0, n)
}

// AuditFilter selects audit entries. A zero field does not restrict the selection.
type AuditFilter struct {
	By     string
	Action string
	// Since and Until bound At, in milliseconds since 1970; Until is exclusive.
	Since, Until int64
	// Outcome is "accepted" or "refused".
	Outcome string
	// Limit selects only the newest entries.
	Limit int
}

// The values of AuditFilter.Outcome.
const (
	OutcomeAccepted = "accepted"
	OutcomeRefused  = "refused"
)

func (f AuditFilter) match(e AuditEntry) bool {
	switch {
	case f.By != "" && f.By != e.By.Name,
		f.Action != "" && f.Action != e.Action,
		f.Since != 0 && e.At < f.Since,
		f.Until != 0 && e.At >= f.Until,
		f.Outcome == OutcomeAccepted && !e.Accepted,
		f.Outcome == OutcomeRefused && e.Accepted:
		return false
	}
	return true
}

// selectEntries returns the matching entries, oldest first.
func (t *auditLog) selectEntries(f AuditFilter) []AuditEntry {
	var out []AuditEntry
	for _, e := range slices.Backward(t.entries) {
		if f.Limit > 0 && len(out) == f.Limit {
			break
		}
		if f.match(e) {
			out = append(out, e)
		}
	}
	slices.Reverse(out)
	return out
}
