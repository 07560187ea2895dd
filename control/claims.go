package control

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Bounds and times of claims.
const (
	// maxClaims bounds the number of claims of all teams.
	maxClaims = 100_000
	// maxOutcomeBody bounds the size of a stored outcome body, in bytes.
	maxOutcomeBody = 64 << 10
	// maxOutcomeBytes bounds the total size of all stored outcome bodies, in
	// bytes.
	maxOutcomeBytes = 16 << 20
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 256
	// minRetention and maxRetention bound how long a claim is stored.
	minRetention = time.Minute
	maxRetention = 7 * 24 * time.Hour
	// pendingRetryAfter is the retry delay for a claim that has no outcome yet.
	pendingRetryAfter = time.Second
	// fullRetryAfter is the retry delay if no further claim can be stored.
	fullRetryAfter = 30 * time.Second
)

// claimKey identifies a claim.
type claimKey struct{ Team, Service, Key string }

func compareKeys(a, b claimKey) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
}

// ClaimRecord is one claimed idempotency key.
type ClaimRecord struct {
	Team       string            `msg:"t"`
	Service    string            `msg:"s"`
	Key        string            `msg:"k"`
	BodyDigest uint64            `msg:"d"`
	Owner      task.SubmissionID `msg:"o"`
	// Outcome is nil until the owner resolves the claim.
	Outcome *task.Outcome `msg:"u"`
	// Expires is the machine's time at which the claim is removed, in
	// milliseconds since 1970.
	Expires int64 `msg:"e"`
}

func (r *ClaimRecord) key() claimKey { return claimKey{r.Team, r.Service, r.Key} }

// claims is the table of idempotency keys.
type claims struct {
	byKey  map[claimKey]*ClaimRecord
	byTeam map[string]int
	expiry expiryHeap
	// outcomeBytes is the total size of the stored outcome bodies.
	outcomeBytes int
	// bytes is the total claimSize of the claims; refused counts the claims and
	// outcomes that were not stored because of it.
	bytes   int
	refused uint64
	bounds  bounds
}

func newClaims() *claims {
	return &claims{byKey: map[claimKey]*ClaimRecord{}, byTeam: map[string]int{}, bounds: boundsOf(formatUnbounded)}
}

// claim reserves a key for its owner. If the key is already claimed, the reply
// describes the existing claim. limit bounds the claims of the team.
func (c *claims) claim(now int64, m *wire.Claim, limit int) *wire.ClaimReply {
	c.expire(now)
	key := claimKey{m.Team, m.Service, m.Key}
	if r, ok := c.byKey[key]; ok {
		return replyForExisting(m, r)
	}
	if len(m.Key) > maxKeyLength {
		return &wire.ClaimReply{Request: m.Request, State: wire.ClaimMismatch}
	}
	if len(c.byKey) >= maxClaims || c.byTeam[m.Team] >= limit {
		return &wire.ClaimReply{Request: m.Request, State: wire.ClaimUnavailable, RetryAfter: fullRetryAfter}
	}
	r := &ClaimRecord{
		Team: m.Team, Service: m.Service, Key: m.Key, BodyDigest: m.BodyDigest, Owner: m.Owner,
		Expires: now + clampRetention(m.Keep).Milliseconds(),
	}
	if c.bytes+claimSize(r) > c.bounds.claims {
		c.refused++
		return &wire.ClaimReply{Request: m.Request, State: wire.ClaimUnavailable, RetryAfter: fullRetryAfter}
	}
	c.insert(r)
	return &wire.ClaimReply{Request: m.Request, State: wire.ClaimGranted, Owner: m.Owner}
}

// replyForExisting returns the reply to a claim of a key that is already claimed.
// The owner is granted the claim again, because its first reply may have been
// lost.
func replyForExisting(m *wire.Claim, r *ClaimRecord) *wire.ClaimReply {
	reply := &wire.ClaimReply{Request: m.Request, Owner: r.Owner}
	switch {
	case r.BodyDigest != m.BodyDigest:
		reply.State = wire.ClaimMismatch
	case r.Outcome != nil:
		reply.State, reply.Outcome = wire.ClaimDone, r.Outcome
	case r.Owner == m.Owner:
		reply.State = wire.ClaimGranted
	default:
		reply.State, reply.RetryAfter = wire.ClaimPending, pendingRetryAfter
	}
	return reply
}

// resolve records the outcome of a claim, or frees the key if the task was not
// run. An outcome from a submission other than the owner, and any second outcome, is
// ignored.
func (c *claims) resolve(now int64, m *wire.Resolve) {
	c.expire(now)
	r, ok := c.byKey[claimKey{m.Team, m.Service, m.Key}]
	if !ok || r.Owner != m.Owner || r.Outcome != nil {
		return
	}
	if m.Outcome.State == task.NotRun {
		c.remove(r)
		return
	}
	out := m.Outcome
	full := c.bytes+outcomeSize(len(out.Body), out.Where) > c.bounds.claims
	if full {
		c.refused++
	}
	if full || len(out.Body) > maxOutcomeBody || c.outcomeBytes+len(out.Body) > maxOutcomeBytes {
		out = task.Outcome{State: task.Unknown, Reason: task.ReasonTooLarge, Ran: out.Ran, Where: out.Where}
	}
	r.Outcome = &out
	c.outcomeBytes += len(out.Body)
	c.bytes += outcomeSize(len(out.Body), out.Where)
}

func (c *claims) insert(r *ClaimRecord) {
	c.byKey[r.key()] = r
	c.byTeam[r.Team]++
	c.bytes += claimSize(r)
	if r.Outcome != nil {
		c.outcomeBytes += len(r.Outcome.Body)
	}
	heap.Push(&c.expiry, r)
}

// remove deletes a claim. Its entry in the heap stays until it expires or the
// heap is compacted.
func (c *claims) remove(r *ClaimRecord) {
	delete(c.byKey, r.key())
	c.bytes -= claimSize(r)
	if c.byTeam[r.Team]--; c.byTeam[r.Team] == 0 {
		delete(c.byTeam, r.Team)
	}
	if r.Outcome != nil {
		c.outcomeBytes -= len(r.Outcome.Body)
	}
	c.expiry.compact(c.byKey)
}

func (c *claims) expire(now int64) {
	for len(c.expiry) > 0 && c.expiry[0].Expires <= now {
		r := heap.Pop(&c.expiry).(*ClaimRecord)
		if c.byKey[r.key()] == r {
			c.remove(r)
		}
	}
}

// records returns the claims sorted by key.
func (c *claims) records() []ClaimRecord {
	out := make([]ClaimRecord, 0, len(c.byKey))
	for _, r := range c.byKey {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b ClaimRecord) int { return compareKeys(a.key(), b.key()) })
	return out
}

func clampRetention(d time.Duration) time.Duration { return min(max(d, minRetention), maxRetention) }

// expiryHeap is a min-heap of claims by expiry time.
type expiryHeap []*ClaimRecord

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].Expires < h[j].Expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*ClaimRecord)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// compact rebuilds the heap without removed claims once they outnumber the live
// ones by 1024.
func (h *expiryHeap) compact(live map[claimKey]*ClaimRecord) {
	if len(*h) < 2*len(live)+1024 {
		return
	}
	*h = slices.DeleteFunc(*h, func(r *ClaimRecord) bool { return live[r.key()] != r })
	heap.Init(h)
}
