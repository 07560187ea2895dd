package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// maxAudit is how many audit entries a replica keeps; the hash of the last one
// dropped anchors the chain.
const maxAudit = 20_000

// Hash is a link of the audit trail's hash chain.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// AuditEntry is one operator's action, accepted or refused.
type AuditEntry struct {
	// Seq numbers the entries from 1 without gaps.
	Seq uint64 `msg:"q"`
	// Index is the position in the replicated log.
	Index uint64 `msg:"i"`
	// At is the log's time in milliseconds since 1970.
	At     int64    `msg:"t"`
	By     Operator `msg:"w"`
	Action string   `msg:"a"`
	// Op is the operation id, empty where the action has none.
	Op     string `msg:"o"`
	Detail string `msg:"d"`
	// Accepted tells whether the action was carried out; Reason says why not.
	Accepted bool   `msg:"k"`
	Reason   string `msg:"r"`
	// Digest is that of the configuration in force after the action.
	Digest uint64 `msg:"g"`
	// Prev is the Hash of the entry before; Hash covers all the other fields.
	Prev Hash `msg:"p"`
	Hash Hash `msg:"h"`
}

// sum returns the hash over every field but Hash.
func (e AuditEntry) sum() Hash {
	e.Hash = Hash{}
	b, err := e.MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("control: encode audit entry: %v", err))
	}
	return sha256.Sum256(b)
}

// VerifyAudit checks the chain of consecutive entries. Anchor is the hash of
// the entry before the first.
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

// auditLog is the audit trail of a replica.
type auditLog struct {
	entries []AuditEntry
	// anchor is the hash of the last entry that was dropped.
	anchor Hash
	seq    uint64
}

func (t *auditLog) add(e AuditEntry) {
	t.seq++
	e.Seq = t.seq
	e.Prev = t.anchor
	if n := len(t.entries); n > 0 {
		e.Prev = t.entries[n-1].Hash
	}
	e.Hash = e.sum()
	t.entries = append(t.entries, e)
	if drop := len(t.entries) - maxAudit; drop > 0 {
		t.anchor = t.entries[drop-1].Hash
		t.entries = slices.Delete(t.entries, 0, drop)
	}
}

// AuditFilter selects audit entries; a zero field selects all.
type AuditFilter struct {
	By     string
	Action string
	// Since and Until bound At, in milliseconds since 1970; Until is exclusive.
	Since, Until int64
	// Outcome is "accepted" or "refused".
	Outcome string
	// Limit keeps the newest entries only.
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
