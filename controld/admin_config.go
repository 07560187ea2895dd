package controld

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// maxReason is the maximum length, in bytes, of a refusal reason in the audit
// trail.
const maxReason = 2048

func parseSources(sources []adminapi.Source) (*fleet.Document, error) {
	in := make([]fleet.Source, len(sources))
	for i, s := range sources {
		in[i] = fleet.Source{Site: s.Site, File: s.File, Text: []byte(s.Text)}
	}
	return fleet.Parse(in)
}

// adminCheck validates a full configuration and returns what it would change.
func (h *Host) adminCheck(c *adminCall) (any, error) { return h.adminDiff(c) }

func (h *Host) adminDiff(c *adminCall) (any, error) {
	var req adminapi.ConfigRequest
	if err := c.decode(&req); err != nil {
		return nil, err
	}
	doc, err := parseSources(req.Sources)
	if err != nil {
		return nil, err
	}
	h.waitCurrent(c.ctx)
	version, inForce := h.machine.Current()
	// A change leaves the orders for failure domains in force.
	if doc, err = doc.WithDomainsOf(inForce); err != nil {
		return nil, err
	}
	return difference(version.Index, inForce, doc), nil
}

// difference lists the sections and keys that differ between two documents.
func difference(base uint64, from, to *fleet.Document) *adminapi.Difference {
	out := &adminapi.Difference{Base: base, Digest: adminapi.FormatDigest(to.Digest())}
	change := fleet.Diff(from, to)
	old := map[string]wire.ConfigSection{}
	for _, s := range from.Sections() {
		old[fleet.SectionRef(s.Site, s.Name)] = s
	}
	for _, s := range change.Sections {
		before, ok := old[fleet.SectionRef(s.Site, s.Name)]
		kind := "changed"
		if !ok {
			kind = "added"
		}
		out.Sections = append(out.Sections, adminapi.SectionChange{Site: s.Site, Section: s.Name, Change: kind, Keys: keyChanges(before, s)})
	}
	for _, ref := range change.Removed {
		s := old[ref]
		out.Sections = append(out.Sections, adminapi.SectionChange{Site: s.Site, Section: s.Name, Change: "removed", Keys: keyChanges(s, wire.ConfigSection{})})
	}
	return out
}

func keyChanges(from, to wire.ConfigSection) []adminapi.KeyChange {
	var out []adminapi.KeyChange
	for _, p := range to.Keys {
		if old := valueOf(from, p.Key); old != p.Value || !slices.Contains(from.Keys, p) {
			out = append(out, adminapi.KeyChange{Key: p.Key, Old: old, New: p.Value})
		}
	}
	for _, p := range from.Keys {
		if !slices.ContainsFunc(to.Keys, func(q wire.ConfigPair) bool { return q.Key == p.Key }) {
			out = append(out, adminapi.KeyChange{Key: p.Key, Old: p.Value})
		}
	}
	return out
}

func valueOf(s wire.ConfigSection, key string) string {
	for _, p := range s.Keys {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

func (h *Host) adminApply(c *adminCall) (any, error) {
	var req adminapi.ApplyRequest
	if err := c.decode(&req); err != nil {
		return nil, err
	}
	doc, err := parseSources(req.Sources)
	if err != nil {
		h.auditInvalidConfig(c, req.Op, err)
		return nil, err
	}
	return h.change(c, &control.Command{Apply: &control.Apply{Op: req.Op, Base: req.Base, By: c.operator, Sections: doc.Sections()}})
}

// auditInvalidConfig adds an audit entry for an invalid configuration, which is
// refused before it is proposed to the log.
func (h *Host) auditInvalidConfig(c *adminCall, op string, err error) {
	reason := "invalid: " + strings.ReplaceAll(err.Error(), "\n", " | ")
	if len(reason) > maxReason {
		reason = reason[:maxReason]
	}
	note := &control.Note{By: c.operator, Action: "config apply", Op: op, Detail: "configuration not valid", Reason: reason}
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	if _, err := h.propose(ctx, &control.Command{Note: note}); err != nil {
		h.log.Warn("audit entry for refused configuration not written", "by", c.operator.Name, "err", err)
	}
}

func (h *Host) adminRollback(c *adminCall) (any, error) {
	var req adminapi.RollbackRequest
	if err := c.decode(&req); err != nil {
		return nil, err
	}
	return h.change(c, &control.Command{Rollback: &control.Rollback{Op: req.Op, Base: req.Base, By: c.operator, To: req.To}})
}

func (h *Host) change(c *adminCall, cmd *control.Command) (any, error) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	reply, err := h.propose(ctx, cmd)
	if err != nil {
		return nil, fmt.Errorf("the change is not known to be accepted: %w", err)
	}
	if reply.Change == nil {
		return nil, errors.New("the log gave no answer")
	}
	h.metrics.countChange(reply.Change.Accepted)
	return changeReply(reply.Change), nil
}

func changeReply(r *control.ChangeReply) *adminapi.ChangeReply {
	out := &adminapi.ChangeReply{
		Accepted: r.Accepted, Refusal: string(r.Refusal), Detail: r.Detail, Index: r.Index, Resent: r.Resent,
	}
	if r.Accepted {
		out.Digest = adminapi.FormatDigest(r.Digest)
	}
	if r.Winner != nil {
		w := adminVersion(*r.Winner)
		out.Winner = &w
	}
	return out
}

func adminVersion(v control.VersionInfo) adminapi.Version {
	return adminapi.Version{
		Index: v.Index, Digest: adminapi.FormatDigest(v.Digest), Base: v.Base, Op: v.Op, By: v.By.Name, From: v.By.Addr,
		At: time.UnixMilli(v.At).UTC(), Action: v.Action, Changed: v.Changed,
	}
}

// adminConfig returns the text of a version, by default of the one in force.
func (h *Host) adminConfig(c *adminCall) (any, error) {
	h.waitCurrent(c.ctx)
	info, doc := h.machine.Current()
	index := info.Index
	if c.QueryArgs().Has("index") {
		n, err := c.QueryArgs().GetUint("index")
		if err != nil {
			return nil, badRequest(fmt.Errorf("index: %w", err))
		}
		index, doc = uint64(n), h.machine.DocumentAt(uint64(n))
	}
	if doc == nil {
		return nil, &adminapi.Problem{Type: adminapi.TypeNotFound, Title: "Not found", Status: fasthttp.StatusNotFound,
			Detail: fmt.Sprintf("the history has no version %d", index)}
	}
	out := &adminapi.ConfigReply{Index: index, Digest: adminapi.FormatDigest(doc.Digest()), Evacuated: doc.EvacuatedDomains()}
	for _, site := range append([]string{""}, doc.Sites()...) {
		out.Sources = append(out.Sources, adminapi.Source{Site: site, Text: string(doc.Format(site))})
	}
	return out, nil
}

func (h *Host) adminHistory(c *adminCall) (any, error) {
	out := &adminapi.HistoryReply{Fresh: h.waitCurrent(c.ctx)}
	for _, v := range h.machine.History(c.QueryArgs().GetUintOrZero("limit")) {
		out.Versions = append(out.Versions, adminVersion(v))
	}
	return out, nil
}

func (h *Host) adminAudit(c *adminCall) (any, error) {
	filter, err := auditFilter(c)
	if err != nil {
		return nil, badRequest(err)
	}
	out := &adminapi.AuditReply{Fresh: h.waitCurrent(c.ctx), Verified: true}
	if err := h.machine.VerifyAudit(); err != nil {
		out.Verified, out.Problem = false, err.Error()
	}
	for _, e := range h.machine.Audit(filter) {
		out.Entries = append(out.Entries, adminapi.AuditEntry{
			Seq: e.Seq, Index: e.Index, At: time.UnixMilli(e.At).UTC(), By: e.By.Name, From: e.By.Addr,
			Action: e.Action, Op: e.Op, Detail: e.Detail, Accepted: e.Accepted, Reason: e.Reason,
			Digest: adminapi.FormatDigest(e.Digest), Prev: e.Prev.String(), Hash: e.Hash.String(),
		})
	}
	return out, nil
}

func auditFilter(c *adminCall) (control.AuditFilter, error) {
	args := c.QueryArgs()
	f := control.AuditFilter{
		By: string(args.Peek("by")), Action: string(args.Peek("action")), Outcome: string(args.Peek("outcome")),
		Limit: args.GetUintOrZero("limit"),
	}
	if f.Outcome != "" && f.Outcome != control.OutcomeAccepted && f.Outcome != control.OutcomeRefused {
		return f, fmt.Errorf("outcome %q: want accepted or refused", f.Outcome)
	}
	for name, dst := range map[string]*int64{"since": &f.Since, "until": &f.Until} {
		text := string(args.Peek(name))
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return f, fmt.Errorf("%s: %w", name, err)
		}
		*dst = at.UnixMilli()
	}
	return f, nil
}
