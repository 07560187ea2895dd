package control

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Bounds of the memory that claims take.
const (
	// maxClaims bounds the claims of all teams.
	maxClaims = 100_000
	// maxOutcomeBody is the largest outcome body that is kept, in bytes.
	maxOutcomeBody = 64 << 10
	// maxOutcomeBytes bounds the outcome bodies of all claims, in bytes.
	maxOutcomeBytes = 16 << 20
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 256
	// minRetention and maxKeep bound how long a claim is remembered.
	minRetention = time.Minute
	maxRetention = 7 * 24 * time.Hour
	// pendingRetryAfter is when to ask again about a claim without an outcome.
	pendingRetryAfter = time.Second
	// fullRetryAfter is when to ask again if no further claim can be kept.
	fullRetryAfter = 30 * time.Second
)

// claimKey names a claim.
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
	// Expires is the log's time in milliseconds at which the claim is dropped.
	Expires int64 `msg:"e"`
}

func (r *ClaimRecord) key() claimKey { return claimKey{r.Team, r.Service, r.Key} }

// claims is the table of idempotency keys.
type claims struct {
	byKey  map[claimKey]*ClaimRecord
	byTeam map[string]int
	expiry expiryHeap
	// outcomeBytes is the sum of the outcome bodies kept.
	outcomeBytes int
}

func newClaims() *claims {
	return &claims{byKey: map[claimKey]*ClaimRecord{}, byTeam: map[string]int{}}
}

// claim reserves a key for its owner, or says who has it. limit bounds the
// claims of the team.
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
	c.insert(&ClaimRecord{
		Team: m.Team, Service: m.Service, Key: m.Key, BodyDigest: m.BodyDigest, Owner: m.Owner,
		Expires: now + clampRetention(m.Keep).Milliseconds(),
	})
	return &wire.ClaimReply{Request: m.Request, State: wire.ClaimGranted, Owner: m.Owner}
}

// replyForExisting answers a claim of a key that is taken. The owner itself is granted
// again, as its first answer may be lost.
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

// resolve records the outcome of a claim or, if it was not run, frees the key.
// Anything from another than the owner, and any second outcome, is ignored.
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
	if len(out.Body) > maxOutcomeBody || c.outcomeBytes+len(out.Body) > maxOutcomeBytes {
		out = task.Outcome{State: task.Unknown, Reason: task.ReasonTooLarge, Ran: out.Ran, Where: out.Where}
	}
	r.Outcome = &out
	c.outcomeBytes += len(out.Body)
}

func (c *claims) insert(r *ClaimRecord) {
	c.byKey[r.key()] = r
	c.byTeam[r.Team]++
	if r.Outcome != nil {
		c.outcomeBytes += len(r.Outcome.Body)
	}
	heap.Push(&c.expiry, r)
}

// remove drops a claim. Its entry in the heap stays until it expires.
func (c *claims) remove(r *ClaimRecord) {
	delete(c.byKey, r.key())
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

// records returns the claims in the order of their keys.
func (c *claims) records() []ClaimRecord {
	out := make([]ClaimRecord, 0, len(c.byKey))
	for _, r := range c.byKey {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b ClaimRecord) int { return compareKeys(a.key(), b.key()) })
	return out
}

func clampRetention(d time.Duration) time.Duration { return min(max(d, minRetention), maxRetention) }

// expiryHeap orders claims by the time at which they expire.
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

// compact rebuilds the heap once most of its records are freed ones.
func (h *expiryHeap) compact(live map[claimKey]*ClaimRecord) {
	if len(*h) < 2*len(live)+1024 {
		return
	}
	*h = slices.DeleteFunc(*h, func(r *ClaimRecord) bool { return live[r.key()] != r })
	heap.Init(h)
}
