package control

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fireflytray/fireflytray/fleet"
)

// maxDomainOrders bounds the number of failure domains whose last order is stored.
// Withdrawn evacuations are dropped first.
const maxDomainOrders = 1024

// Evacuate orders that a failure domain get no new work, or takes that back. An order
// that is already in force is acknowledged and changes nothing.
type Evacuate struct {
	Domain string `msg:"d"`
	// Evacuated is false to take the domain back.
	Evacuated bool     `msg:"e"`
	By        Operator `msg:"w"`
	// After is DomainOrder.Last of the domain as its proposer knew it. If another order
	// has been applied since, this one is refused as superseded, so that a proposal
	// that was held up on its way does not undo a later order.
	After uint64 `msg:"a"`
	// Unlisted is set if the proposer knows no process of the domain. The order is then
	// refused unless the domain is evacuated or has had an order before.
	Unlisted bool `msg:"u"`
}

// EvacuateReply is the reply to Evacuate.
type EvacuateReply struct {
	Accepted bool    `msg:"k"`
	Refusal  Refusal `msg:"r"`
	// Detail is a one-sentence explanation for operators.
	Detail string `msg:"d"`
	// Index is the version in force.
	Index uint64 `msg:"i"`
	// Last is DomainOrder.Last of the domain.
	Last uint64 `msg:"l"`
}

// DomainOrder is the last order for a failure domain.
type DomainOrder struct {
	Domain    string `msg:"d"`
	Evacuated bool   `msg:"e"`
	// By, At and Version are those of the order that led to this state. At is the
	// machine's time in milliseconds since 1970.
	By      Operator `msg:"w"`
	At      int64    `msg:"t"`
	Version uint64   `msg:"v"`
	// Last is the log position of the last accepted order, including those that
	// changed nothing.
	Last uint64 `msg:"l"`
}

// domainOrders holds the last order for each failure domain, sorted by domain. The
// document in force decides which domains are evacuated; the orders add who ordered
// it, and when.
type domainOrders []DomainOrder

func (o domainOrders) find(domain string) (int, bool) {
	return slices.BinarySearchFunc(o, domain, func(e DomainOrder, domain string) int { return cmp.Compare(e.Domain, domain) })
}

func (o domainOrders) get(domain string) DomainOrder {
	if i, ok := o.find(domain); ok {
		return o[i]
	}
	return DomainOrder{Domain: domain}
}

// with returns the orders with one replaced. The receiver is not changed, because a
// snapshot may refer to it.
func (o domainOrders) with(order DomainOrder) domainOrders {
	out := slices.Clone(o)
	i, ok := out.find(order.Domain)
	if ok {
		out[i] = order
		return out
	}
	out = slices.Insert(out, i, order)
	if len(out) <= maxDomainOrders {
		return out
	}
	oldest := -1
	for i, e := range out {
		if !e.Evacuated && (oldest < 0 || e.Last < out[oldest].Last) {
			oldest = i
		}
	}
	if oldest >= 0 {
		out = slices.Delete(out, oldest, oldest+1)
	}
	return out
}

// DomainOrder returns the last order for a failure domain.
func (m *Machine) DomainOrder(domain string) DomainOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.domainOrders.get(domain)
}

// Evacuations returns the orders of the evacuated failure domains, sorted by domain.
func (m *Machine) Evacuations() []DomainOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []DomainOrder
	for _, domain := range m.configs.doc.EvacuatedDomains() {
		out = append(out, m.domainOrders.get(domain))
	}
	return out
}

// evacuate decides an order for a failure domain and puts it in force if accepted.
func (m *Machine) evacuate(index uint64, e *Evacuate) *EvacuateReply {
	reply := m.decideEvacuation(index, e)
	reply.Index = m.configs.current().Index
	reply.Last = m.domainOrders.get(e.Domain).Last
	m.auditEvacuation(index, e, reply)
	return reply
}

func (m *Machine) decideEvacuation(index uint64, e *Evacuate) *EvacuateReply {
	doc, err := m.configs.doc.WithEvacuation(e.Domain, e.Evacuated)
	if err != nil {
		return &EvacuateReply{Refusal: RefusalInvalid, Detail: err.Error()}
	}
	last := m.domainOrders.get(e.Domain)
	unchanged := doc == m.configs.doc
	evacuated := unchanged == e.Evacuated
	switch {
	case e.Unlisted && last.Last == 0 && !evacuated:
		return &EvacuateReply{Refusal: RefusalUnknownDomain, Detail: fmt.Sprintf("no process of a failure domain %s is known", e.Domain)}
	case unchanged:
		last.Last = index
		m.domainOrders = m.domainOrders.with(last)
		return &EvacuateReply{Accepted: true, Detail: fmt.Sprintf("%s is %s already", e.Domain, stateOf(e))}
	case e.After != last.Last:
		return &EvacuateReply{Refusal: RefusalSuperseded,
			Detail: fmt.Sprintf("the order follows that at %d for %s, but the last one is at %d", e.After, e.Domain, last.Last)}
	}
	info := m.configs.replace(index, m.now, doc, newVersion{by: e.By, op: evacuateOp(e), action: evacuateAction(e)})
	m.domainOrders = m.domainOrders.with(DomainOrder{
		Domain: e.Domain, Evacuated: e.Evacuated, By: e.By, At: m.now, Version: info.Index, Last: index,
	})
	return &EvacuateReply{Accepted: true, Detail: fmt.Sprintf("%s is %s", e.Domain, stateOf(e))}
}

func stateOf(e *Evacuate) string {
	if e.Evacuated {
		return "evacuated"
	}
	return "taken back"
}

// evacuateAction returns the action of the version that an order creates.
func evacuateAction(e *Evacuate) string {
	if e.Evacuated {
		return "evacuate " + e.Domain
	}
	return "take back " + e.Domain
}

func evacuateOp(e *Evacuate) string {
	if e.Evacuated {
		return "evacuate-" + e.Domain
	}
	return "take-back-" + e.Domain
}

func (m *Machine) auditEvacuation(index uint64, e *Evacuate, reply *EvacuateReply) {
	entry := AuditEntry{
		Index: index, At: m.now, By: e.By, Action: "domain evacuate", Op: evacuateOp(e),
		Accepted: reply.Accepted, Digest: m.configs.doc.Digest(),
	}
	if !e.Evacuated {
		entry.Action = "domain take-back"
	}
	if reply.Accepted {
		entry.Detail = fmt.Sprintf("%s: version %d is in force", reply.Detail, reply.Index)
	} else {
		entry.Detail = evacuateAction(e)
		entry.Reason = string(reply.Refusal) + ": " + reply.Detail
	}
	m.auditLog.add(entry)
}

// errDomainInConfig is returned for a configuration with orders for failure domains,
// which would bypass their audit.
var errDomainInConfig = errors.New("control: a configuration holds no orders for failure domains")

// withDomains returns a document with the orders for failure domains that are in force.
func (c *configs) withDomains(doc *fleet.Document) (*fleet.Document, error) {
	if slices.ContainsFunc(doc.Sections(), fleet.IsDomain) {
		return nil, errDomainInConfig
	}
	return doc.WithDomainsOf(c.doc)
}
