package control

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflytray/fireflytray/fleet"
)

const (
	// maxOps bounds the number of operation ids that are stored.
	maxOps = 4096
	// maxOpLength bounds the length of an operation id, in bytes.
	maxOpLength = 128
)

// OpRecord is the reply given to the request with an operation id.
type OpRecord struct {
	Op string `msg:"o"`
	// Content is a hash of the request. It distinguishes a resend from the
	// reuse of the id for another request.
	Content uint64      `msg:"c"`
	Reply   ChangeReply `msg:"r"`
}

// configs is the configuration in force, its history and the recent operations.
type configs struct {
	doc *fleet.Document
	// inForce describes the version in force with its changed sections.
	inForce VersionInfo
	history history
	ops     []OpRecord
	byOp    map[string]OpRecord
	// opBytes is the total operationSize of ops; opsDropped counts those that were
	// dropped because of it.
	opBytes    int
	opsDropped uint64
	bounds     bounds
	// teamLimits caches the claim limit of each team in limitsDoc.
	teamLimits map[string]uint32
	limitsDoc  *fleet.Document
}

// claimLimits returns the claim limit of each team in the document in force.
func (c *configs) claimLimits() map[string]uint32 {
	if c.limitsDoc == c.doc {
		return c.teamLimits
	}
	c.limitsDoc, c.teamLimits = c.doc, map[string]uint32{}
	for name, team := range c.doc.Effective("").Teams {
		c.teamLimits[name] = team.MaxKeys
	}
	return c.teamLimits
}

func newConfigs() *configs {
	return &configs{doc: fleet.Empty(), byOp: map[string]OpRecord{}, bounds: boundsOf(formatUnbounded)}
}

// current returns the version in force. Before the first version, only Digest is
// set.
func (c *configs) current() VersionInfo {
	if len(c.history.versions) == 0 {
		return VersionInfo{Digest: c.doc.Digest()}
	}
	return c.inForce
}

// at returns the document of a version, or nil if the version is not in the
// history. Version zero is the empty document.
func (c *configs) at(index uint64) *fleet.Document {
	if index == 0 {
		return fleet.Empty()
	}
	return c.history.documentAt(index, c.doc)
}

// rollbackDepth is the number of versions that a refused rollback names.
func (c *configs) rollbackDepth() int {
	if c.bounds.history == math.MaxInt {
		return maxHistory
	}
	return len(c.history.versions)
}

// request is an operator's request for a change: an Apply or a Rollback.
type request struct {
	op          string
	base        uint64
	by          Operator
	action      string
	contentHash uint64
	// document returns the new document, or nil with the reason and its detail.
	document func() (*fleet.Document, Refusal, string)
}

func (c *configs) applyRequest(a *Apply) request {
	return request{
		op: a.Op, base: a.Base, by: a.By, action: "apply", contentHash: contentHash(a),
		document: func() (*fleet.Document, Refusal, string) {
			doc, err := fleet.FromSections(a.Sections)
			if err == nil {
				doc, err = c.withDomains(doc)
			}
			if err != nil {
				return nil, RefusalInvalid, err.Error()
			}
			return doc, RefusalNone, ""
		},
	}
}

func (c *configs) rollbackRequest(r *Rollback) request {
	return request{
		op: r.Op, base: r.Base, by: r.By, action: fmt.Sprintf("rollback to %d", r.To),
		contentHash: xxhash.Sum64String(fmt.Sprintf("rollback %d %d", r.Base, r.To)),
		document: func() (*fleet.Document, Refusal, string) {
			old := c.at(r.To)
			if old == nil {
				return nil, RefusalNoSuchVersion, fmt.Sprintf("there is no version %d among the last %d", r.To, c.rollbackDepth())
			}
			doc, err := old.WithDomainsOf(c.doc)
			if err != nil {
				return nil, RefusalInvalid, err.Error()
			}
			return doc, RefusalNone, ""
		},
	}
}

// contentHash hashes the requested change of an Apply without its operator.
func contentHash(a *Apply) uint64 {
	b, err := (&Apply{Base: a.Base, Sections: a.Sections}).MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("control: encode apply: %v", err))
	}
	return xxhash.Sum64(b)
}

// change handles a request. isNew is false for a resend, which changes nothing
// and is not audited again.
func (c *configs) change(index uint64, now int64, req request) (reply ChangeReply, isNew bool) {
	if old, ok := c.byOp[req.op]; ok {
		if old.Content != req.contentHash {
			return ChangeReply{Refusal: RefusalOpReused,
				Detail: fmt.Sprintf("the operation id %s belongs to another change", req.op)}, true
		}
		reply = old.Reply
		reply.Resent = true
		return reply, false
	}
	if req.op == "" || len(req.op) > maxOpLength {
		return ChangeReply{Refusal: RefusalOpMissing,
			Detail: fmt.Sprintf("an operation id of 1 to %d bytes is needed", maxOpLength)}, true
	}
	reply = c.decide(index, now, req)
	c.recordOp(OpRecord{req.op, req.contentHash, reply})
	return reply, true
}

// decide accepts or refuses a new request and applies it if accepted.
func (c *configs) decide(index uint64, now int64, req request) ChangeReply {
	if cur := c.current(); cur.Index != req.base {
		return ChangeReply{Refusal: RefusalConflict, Winner: &cur,
			Detail: fmt.Sprintf("the change replaces version %d, but version %d by %s (operation %s) is in force",
				req.base, cur.Index, cur.By.Name, cur.Op)}
	}
	doc, refusal, detail := req.document()
	if doc == nil {
		return ChangeReply{Refusal: refusal, Detail: detail}
	}
	diff, undo := fleet.Diff(c.doc, doc), fleet.Diff(doc, c.doc)
	// After a restore, versions are higher than log positions.
	index = max(index, c.current().Index+1)
	info := VersionInfo{
		Index: index, Digest: doc.Digest(), Base: req.base, Op: req.op, By: req.by,
		At: now, Action: req.action, Changed: changedRefs(diff),
	}
	c.addVersion(Version{info, Undo{undo.Sections, undo.Removed}})
	c.doc = doc
	return ChangeReply{Accepted: true, Index: index, Digest: doc.Digest(),
		Detail: fmt.Sprintf("%d sections changed", len(info.Changed))}
}

// addVersion appends a version to the history and puts it in force.
func (c *configs) addVersion(v Version) {
	c.inForce = v.Info
	c.history.add(&v, c.bounds.history)
}

// trim drops the oldest versions and operations over the bounds in bytes.
func (c *configs) trim() {
	c.history.trim(c.bounds.history)
	c.trimOps()
}

// changedRefs returns the references of the changed sections in sorted order;
// those of removed sections begin with "-".
func changedRefs(c fleet.Change) []string {
	var out []string
	for _, s := range c.Sections {
		out = append(out, fleet.SectionRef(s.Site, s.Name))
	}
	for _, ref := range c.Removed {
		out = append(out, "-"+ref)
	}
	slices.SortFunc(out, func(a, b string) int {
		return strings.Compare(strings.TrimPrefix(a, "-"), strings.TrimPrefix(b, "-"))
	})
	return out
}

// recordOp stores the reply to an operation id and drops the oldest ones over
// maxOps and the bound in bytes.
func (c *configs) recordOp(r OpRecord) {
	c.ops = append(c.ops, r)
	c.byOp[r.Op] = r
	c.opBytes += operationSize(&r)
	c.dropOps(max(0, len(c.ops)-maxOps))
	c.trimOps()
}

func (c *configs) trimOps() {
	n := excess(c.ops, c.opBytes, c.bounds.operations, operationSize)
	c.opsDropped += uint64(n)
	c.dropOps(n)
}

func (c *configs) dropOps(n int) {
	for i := range n {
		delete(c.byOp, c.ops[i].Op)
		c.opBytes -= operationSize(&c.ops[i])
	}
	c.ops = slices.Delete(c.ops, 0, n)
}
