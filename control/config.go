package control

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// maxHistory is how many versions can be shown and rolled back to.
	maxHistory = 512
	// maxOps is how many operation ids are remembered.
	maxOps = 4096
	// maxOpLength bounds an operation id, in bytes.
	maxOpLength = 128
)

// Version is one version in the history, with what undoes it.
type Version struct {
	Info VersionInfo `msg:"i"`
	// Undo turns this version's document into the one before it.
	Undo Undo `msg:"u"`
}

// Undo is a fleet.Change that leads back.
type Undo struct {
	Sections []wire.ConfigSection `msg:"s"`
	Removed  []string             `msg:"r"`
}

// OpRecord is the answer given to an operation id.
type OpRecord struct {
	Op string `msg:"o"`
	// Content is a hash of the request, to tell a resend from a reuse.
	Content uint64      `msg:"c"`
	Reply   ChangeReply `msg:"r"`
}

// configs is the configuration in force with its history.
type configs struct {
	doc *fleet.Document
	// history is oldest first; its last version is in force.
	history []Version
	ops     []OpRecord
	byOp    map[string]OpRecord
	// teamLimits is the bound of claims by team in the document in force.
	teamLimits map[string]uint32
	limitsDoc  *fleet.Document
}

// claimLimits returns the bound of claims of each team.
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
	return &configs{doc: fleet.Empty(), byOp: map[string]OpRecord{}}
}

// current returns the version in force; the zero value before the first.
func (c *configs) current() VersionInfo {
	if len(c.history) == 0 {
		return VersionInfo{Digest: c.doc.Digest()}
	}
	return c.history[len(c.history)-1].Info
}

// at returns the document of a version, or nil if the history does not reach
// it. Version zero is the empty document.
func (c *configs) at(index uint64) *fleet.Document {
	if index == 0 {
		return fleet.Empty()
	}
	doc := c.doc
	for _, v := range slices.Backward(c.history) {
		if v.Info.Index == index {
			return doc
		}
		if v.Info.Index < index {
			return nil
		}
		before, err := doc.Apply(fleet.Change{Sections: v.Undo.Sections, Removed: v.Undo.Removed})
		if err != nil {
			return nil
		}
		doc = before
	}
	return nil
}

// request is an operator's change of either kind.
type request struct {
	op          string
	base        uint64
	by          Operator
	action      string
	contentHash uint64
	// document returns the new document or why there is none.
	document func() (*fleet.Document, Refusal, string)
}

func (c *configs) applyRequest(a *Apply) request {
	return request{
		op: a.Op, base: a.Base, by: a.By, action: "apply", contentHash: contentHash(a),
		document: func() (*fleet.Document, Refusal, string) {
			doc, err := fleet.FromSections(a.Sections)
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
			doc := c.at(r.To)
			if doc == nil {
				return nil, RefusalNoSuchVersion, fmt.Sprintf("there is no version %d among the last %d", r.To, maxHistory)
			}
			return doc, RefusalNone, ""
		},
	}
}

// contentHash hashes what an Apply asks for, whoever asks and from wherever.
func contentHash(a *Apply) uint64 {
	b, err := (&Apply{Base: a.Base, Sections: a.Sections}).MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("control: encode apply: %v", err))
	}
	return xxhash.Sum64(b)
}

// change decides on a request. First is false for a resend, which changes
// nothing and is not audited again.
func (c *configs) change(index uint64, now int64, req request) (reply ChangeReply, first bool) {
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
	// After a restore the versions are ahead of the log.
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

// addVersion adds a version to the history.
func (c *configs) addVersion(v Version) {
	c.history = append(c.history, v)
	if drop := len(c.history) - maxHistory; drop > 0 {
		c.history = slices.Delete(c.history, 0, drop)
	}
}

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

func (c *configs) recordOp(r OpRecord) {
	c.ops = append(c.ops, r)
	c.byOp[r.Op] = r
	if drop := len(c.ops) - maxOps; drop > 0 {
		for _, old := range c.ops[:drop] {
			delete(c.byOp, old.Op)
		}
		c.ops = slices.Delete(c.ops, 0, drop)
	}
}
