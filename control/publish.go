package control

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// Published is a document with its own version number, as received in a Publish.
type Published struct {
	Version uint64 `msg:"v"`
	Source  []byte `msg:"d,limit=524288"`
}

// Published returns the published document with the highest version, or the zero
// value if there is none.
func (m *Machine) Published() Published {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.published
}

// publish puts a document in force if its version is the highest so far. An
// invalid document is refused regardless of its version.
func (m *Machine) publish(index uint64, p *Publish) *PublishReply {
	reply := &PublishReply{Newest: m.published.Version, Index: m.configs.current().Index}
	doc, err := m.mergePublished(p.Sections)
	if err != nil {
		reply.Detail = err.Error()
		m.auditPublish(index, p, reply)
		return reply
	}
	reply.Accepted = true
	if p.Version <= m.published.Version {
		m.auditPublish(index, p, reply)
		return reply
	}
	m.published = Published{Version: p.Version, Source: p.Source}
	info := m.configs.replace(index, m.now, doc, newVersion{by: p.By, op: publishOp(p), action: fmt.Sprintf("publish %d", p.Version)})
	reply.Newest, reply.Index = p.Version, info.Index
	m.auditPublish(index, p, reply)
	return reply
}

// mergePublished returns the document in force with the services and routes of the
// base replaced by the given sections.
func (m *Machine) mergePublished(sections []wire.ConfigSection) (*fleet.Document, error) {
	if slices.ContainsFunc(sections, fleet.IsDomain) {
		return nil, errDomainInConfig
	}
	kept := slices.DeleteFunc(slices.Clone(m.configs.doc.Sections()), func(s wire.ConfigSection) bool {
		kind, _, _ := strings.Cut(s.Name, " ")
		return s.Site == "" && (kind == "service" || kind == "route")
	})
	return fleet.FromSections(append(kept, sections...))
}

// newVersion describes a change that does not name the version that it replaces.
type newVersion struct {
	by         Operator
	op, action string
}

// replace puts a document in force without checking which version it replaces.
func (c *configs) replace(index uint64, now int64, doc *fleet.Document, v newVersion) VersionInfo {
	diff, undo := fleet.Diff(c.doc, doc), fleet.Diff(doc, c.doc)
	cur := c.current()
	info := VersionInfo{
		Index: max(index, cur.Index+1), Digest: doc.Digest(), Base: cur.Index, Op: v.op, By: v.by,
		At: now, Action: v.action, Changed: changedRefs(diff),
	}
	c.addVersion(Version{info, Undo{undo.Sections, undo.Removed}})
	c.doc = doc
	return info
}

func publishOp(p *Publish) string { return fmt.Sprintf("publish-%d", p.Version) }

func (m *Machine) auditPublish(index uint64, p *Publish, reply *PublishReply) {
	e := AuditEntry{
		Index: index, At: m.now, By: p.By, Action: "config publish", Op: publishOp(p),
		Accepted: reply.Accepted, Digest: m.configs.doc.Digest(), Reason: reply.Detail,
	}
	switch {
	case !reply.Accepted:
		e.Detail = fmt.Sprintf("version %d", p.Version)
	case reply.Newest > p.Version:
		e.Detail = fmt.Sprintf("version %d changes nothing, version %d is in force", p.Version, reply.Newest)
	default:
		e.Detail = fmt.Sprintf("version %d is in force", p.Version)
	}
	m.auditLog.add(e)
}
