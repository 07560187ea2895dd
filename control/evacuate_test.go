package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

var astrid = Operator{Name: "astrid", Addr: "10.0.0.9"}

// order gives an order as a proposer that knows all earlier ones.
func (f *machineDriver) order(domain string, evacuated bool) *EvacuateReply {
	f.t.Helper()
	return f.apply(&Command{At: int64(f.index), Evacuate: &Evacuate{
		Domain: domain, Evacuated: evacuated, By: astrid, After: f.m.DomainOrder(domain).Last,
	}}).Evacuate
}

// evacuated returns the evacuated domains as entries and agents see them.
func (f *machineDriver) evacuated() []string {
	_, doc := f.m.Current()
	return doc.EvacuatedDomains()
}

func TestEvacuationIsAVersion(t *testing.T) {
	f := newMachineDriver(t)
	base := f.config("op-1", 0, 3).Index
	reply := f.order("sv-a", true)
	require.True(t, reply.Accepted, reply.Detail)
	info, doc := f.m.Current()
	require.Equal(t, reply.Index, info.Index)
	require.Equal(t, base, info.Base)
	require.Equal(t, "evacuate sv-a", info.Action)
	require.Equal(t, astrid, info.By)
	require.Equal(t, []string{"/domain sv-a"}, info.Changed)
	require.True(t, doc.Effective("sv-a").Evacuated("sv-a"))
	require.Empty(t, f.m.DocumentAt(base).EvacuatedDomains())
	next, err := f.m.DocumentAt(base).Receive(base, f.m.Push(base))
	require.NoError(t, err)
	require.Equal(t, doc.Digest(), next.Digest())
	require.Equal(t, []DomainOrder{{Domain: "sv-a", Evacuated: true, By: astrid, At: info.At, Version: info.Index, Last: f.index}}, f.m.Evacuations())
	require.True(t, f.order("sv-a", false).Accepted)
	require.Empty(t, f.evacuated())
	require.Equal(t, []string{"sv-a"}, f.m.DocumentAt(info.Index).EvacuatedDomains())
}

// An operator whose answer was lost sends the order again.
func TestOrderGivenTwiceChangesNothing(t *testing.T) {
	f := newMachineDriver(t)
	for _, on := range []bool{true, false} {
		first := f.order("sv-a", on)
		order := f.m.DomainOrder("sv-a")
		again := f.apply(&Command{At: 99, Evacuate: &Evacuate{Domain: "sv-a", Evacuated: on, After: order.Last}}).Evacuate
		require.True(t, first.Accepted && again.Accepted)
		require.Equal(t, first.Index, again.Index)
		require.Equal(t, f.index, f.m.DomainOrder("sv-a").Last)
		require.Equal(t, order.By, f.m.DomainOrder("sv-a").By)
		require.Equal(t, order.At, f.m.DomainOrder("sv-a").At)
	}
	audit := f.m.Audit(AuditFilter{Outcome: OutcomeAccepted})
	require.Len(t, audit, 4)
	require.Equal(t, "domain evacuate", audit[1].Action)
	require.Contains(t, audit[1].Detail, "sv-a is evacuated already")
	require.Equal(t, "domain take-back", audit[3].Action)
}

// The proposal of a control host that was cut off arrives after its caller has gone
// and the domain has been evacuated through another host and taken back.
func TestLateProposalDoesNotUndoLaterOrder(t *testing.T) {
	f := newMachineDriver(t)
	late := &Command{Evacuate: &Evacuate{Domain: "sv-a", Evacuated: true, After: f.m.DomainOrder("sv-a").Last}}
	f.order("sv-a", true)
	f.order("sv-a", false)
	reply := f.apply(late).Evacuate
	require.Equal(t, RefusalSuperseded, reply.Refusal)
	require.Equal(t, f.index-1, reply.Last)
	require.Empty(t, f.evacuated())

	// An order that was acknowledged without a change also comes after the late one.
	late = &Command{Evacuate: &Evacuate{Domain: "sv-a", Evacuated: true, After: f.m.DomainOrder("sv-a").Last}}
	f.order("sv-a", false)
	require.Equal(t, RefusalSuperseded, f.apply(late).Evacuate.Refusal)
	require.Empty(t, f.evacuated())
	refused := f.m.Audit(AuditFilter{Outcome: OutcomeRefused})
	require.Len(t, refused, 2)
	require.Contains(t, refused[0].Reason, "superseded")
}

func TestAllDomainsEvacuated(t *testing.T) {
	f := newMachineDriver(t)
	all := []string{"Rack.7", "sv-a", "sv-b"}
	for _, domain := range all {
		require.True(t, f.order(domain, true).Accepted)
	}
	require.Equal(t, all, f.evacuated())
	require.Len(t, f.m.Evacuations(), 3)
	f.order("sv-a", false)
	require.Equal(t, []string{"Rack.7", "sv-b"}, f.evacuated())
}

// Orders of different kinds that race end in the state of the last in the log, and no
// change of the configuration orders or withdraws an evacuation.
func TestChangesKeepEvacuations(t *testing.T) {
	f := newMachineDriver(t)
	first := f.config("op-1", 0, 3).Index
	f.order("sv-a", true)
	kept := func(change string) {
		t.Helper()
		require.Equal(t, []string{"sv-a"}, f.evacuated(), change)
	}
	require.Equal(t, RefusalConflict, f.config("op-2", first, 4).Refusal, "the base is the version before the order")
	require.True(t, f.config("op-3", f.m.Stamp().Index, 4).Accepted)
	kept("apply")
	require.True(t, f.apply(&Command{Publish: publishCommand(7, "1s")}).Publish.Accepted)
	kept("publish")
	rollback := f.apply(&Command{Rollback: &Rollback{Op: "op-4", Base: f.m.Stamp().Index, To: first}}).Change
	require.True(t, rollback.Accepted, rollback.Detail)
	kept("rollback")
	evacuated := f.m.Stamp().Index
	f.order("sv-a", false)
	require.True(t, f.apply(&Command{Rollback: &Rollback{Op: "op-5", Base: f.m.Stamp().Index, To: evacuated}}).Change.Accepted)
	require.Empty(t, f.evacuated(), "a rollback to an evacuated version")
	require.True(t, f.apply(&Command{Rollback: &Rollback{Op: "op-6", Base: f.m.Stamp().Index, To: 0}}).Change.Accepted)
	require.Empty(t, f.evacuated())
}

func TestConfigurationsWithOrdersAreRefused(t *testing.T) {
	f := newMachineDriver(t)
	section := wire.ConfigSection{Name: "domain sv-a", Keys: []wire.ConfigPair{{Key: "evacuated", Value: "true"}}}
	apply := f.apply(&Command{Apply: &Apply{Op: "op-1", Sections: []wire.ConfigSection{section}}}).Change
	require.Equal(t, RefusalInvalid, apply.Refusal)
	publish := publishCommand(7, "1s")
	publish.Sections = append(publish.Sections, section)
	require.False(t, f.apply(&Command{Publish: publish}).Publish.Accepted)
	require.Empty(t, f.evacuated())
}

func TestOrderForUnknownDomain(t *testing.T) {
	f := newMachineDriver(t)
	unlisted := func(domain string, on bool) *EvacuateReply {
		return f.apply(&Command{Evacuate: &Evacuate{
			Domain: domain, Evacuated: on, After: f.m.DomainOrder(domain).Last, Unlisted: true,
		}}).Evacuate
	}
	for _, on := range []bool{true, false} {
		require.Equal(t, RefusalUnknownDomain, unlisted("sv-x", on).Refusal)
	}
	require.Equal(t, RefusalInvalid, f.order("a/b", true).Refusal)
	require.Zero(t, f.m.Stamp().Index)
	require.Len(t, f.m.Audit(AuditFilter{Outcome: OutcomeRefused}), 3)
	// The last process of an evacuated domain has gone.
	f.order("sv-a", true)
	require.True(t, unlisted("sv-a", true).Accepted)
	require.True(t, unlisted("sv-a", false).Accepted)
	require.Empty(t, f.evacuated())
}

// A control host restarts from its snapshot, and one that was away gets that of the
// leader.
func TestEvacuationsSurviveASnapshot(t *testing.T) {
	f := newMachineDriver(t)
	f.order("sv-a", true)
	f.order("sv-b", true)
	f.order("sv-b", false)
	snapshot, err := f.m.Snapshot()
	require.NoError(t, err)
	other := newMachineDriver(t)
	require.NoError(t, other.m.Restore(f.index, snapshot))
	require.Equal(t, f.m.Evacuations(), other.m.Evacuations())
	require.Equal(t, []string{"sv-a"}, other.evacuated())
	for _, domain := range []string{"sv-a", "sv-b"} {
		require.Equal(t, f.m.DomainOrder(domain), other.m.DomainOrder(domain))
	}
	other.m.Reset()
	require.Empty(t, other.m.Evacuations())
	require.Zero(t, other.m.DomainOrder("sv-b").Last)
}

// A backup restores the evacuations of its time. A cluster with an order takes no
// backup, so a restore can't withdraw one.
func TestBackupHoldsEvacuations(t *testing.T) {
	f := newMachineDriver(t)
	f.config("op-1", 0, 3)
	f.order("sv-a", true)
	backup, err := f.m.Snapshot()
	require.NoError(t, err)
	parts, err := RestoreParts(backup, astrid)
	require.NoError(t, err)
	fresh := newMachineDriver(t)
	require.Empty(t, fresh.apply(&Command{Restore: parts[0]}).Restore.Refusal)
	require.Equal(t, []string{"sv-a"}, fresh.evacuated())
	require.True(t, fresh.order("sv-a", false).Accepted)

	used := newMachineDriver(t)
	used.order("sv-b", true)
	require.NotEmpty(t, used.apply(&Command{Restore: parts[0]}).Restore.Refusal)
	require.Equal(t, []string{"sv-b"}, used.evacuated())
}

func TestDomainOrdersAreBounded(t *testing.T) {
	f := newMachineDriver(t)
	f.order("kept", true)
	for n := range maxDomainOrders + 10 {
		require.True(t, f.order(fmt.Sprint("d", n), false).Accepted)
	}
	require.Len(t, f.m.domainOrders, maxDomainOrders)
	require.True(t, f.m.DomainOrder("kept").Evacuated)
	require.Zero(t, f.m.DomainOrder("d0").Last)
}
