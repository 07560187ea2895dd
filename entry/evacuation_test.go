package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// domainFixture is an entry with the given number of agents in each of the failure
// domains north, east and west. The agents are named after their domains.
func domainFixture(t *testing.T, perDomain int) *fixture {
	f := newFixture(t)
	f.addDomains(perDomain)
	return f
}

// urgentFixture is a domainFixture whose entry serves urgent submissions first and
// refuses what can't meet its objective.
func urgentFixture(t *testing.T, perDomain int) *fixture {
	f := newFixture(t)
	f.e = New(Options{Self: f.e.opts.Self, Order: queue.Urgent, Config: f.e.cfg})
	f.addDomains(perDomain)
	return f
}

func (f *fixture) addDomains(perDomain int) {
	d := wire.Directory{}
	for _, domain := range []string{"north", "east", "west"} {
		for i := range perDomain {
			id := fmt.Sprintf("%s-%d", domain, i)
			d.Upserts = append(d.Upserts, wire.Member{
				Peer:   wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: 1, Addr: id, Domain: domain},
				Worker: &wire.Worker{Service: "svc"},
			})
		}
	}
	for _, eff := range f.step(DirectoryChanged{Directory: d}) {
		if dial, ok := eff.(Dial); ok {
			f.welcome(dial)
		}
	}
}

// evacuate puts a configuration into force in which exactly the given failure domains
// are evacuated.
func (f *fixture) evacuate(domains ...string) []Effect {
	cfg := *f.e.cfg
	cfg.Index++
	cfg.Domains = map[string]fleet.Domain{}
	for _, name := range domains {
		cfg.Domains[name] = fleet.Domain{Name: name, Evacuated: true}
	}
	return f.step(ConfigChanged{Config: &cfg})
}

// refuse returns the effects of a report that refuses the tasks of a Send.
func (f *fixture) refuse(s Send, reason task.Reason) []Effect {
	var results []wire.Result
	for _, a := range s.Update.Tasks {
		results = append(results, wire.Result{ID: a.ID, Outcome: task.Outcome{State: task.NotRun, Reason: reason}})
	}
	r := f.report(s.Agent, 0, results...)
	r.Slots = 0
	return f.step(Received{Agent: s.Agent, Session: s.Session, Report: r})
}

func (f *fixture) domainOf(agent string) string { return f.e.agents[agent].peer.Domain }

func decisions(effects []Effect, message string) []Decision {
	var out []Decision
	for _, eff := range effects {
		if d, ok := eff.(Decision); ok && d.Message == message {
			out = append(out, d)
		}
	}
	return out
}

// Tasks that agents in an evacuated failure domain send back are placed elsewhere at
// once, and nothing more is sent there.
func TestTasksOfEvacuatedDomainArePlacedElsewhere(t *testing.T) {
	f := domainFixture(t, 2)
	first := sends(f.submit(1, job(12)))
	out := f.evacuate("east")
	require.Empty(t, answers(out), "what runs there goes on")
	require.Len(t, decisions(out, "failure domain evacuated"), 1)
	back := 0
	for _, s := range first {
		if f.domainOf(s.Agent) != "east" {
			continue
		}
		back += len(s.Update.Tasks)
		placed := 0
		for _, again := range sends(f.refuse(s, task.ReasonEvacuated)) {
			for _, a := range again.Update.Tasks {
				require.NotEqual(t, "east", f.domainOf(again.Agent))
				require.Equal(t, uint32(1), a.ID.Attempt)
				placed++
			}
		}
		require.Equal(t, len(s.Update.Tasks), placed)
	}
	require.NotZero(t, back)
	require.Equal(t, uint64(back), f.e.stats.Evacuated)
	for n := range uint64(8) {
		for _, s := range sends(f.submit(10+n, job(2))) {
			require.True(t, f.domainOf(s.Agent) != "east" || len(s.Update.Tasks) == 0)
		}
	}
}

// A run in an evacuated failure domain ends there, and its result is the answer's.
func TestResultsOfEvacuatedDomainCount(t *testing.T) {
	f := domainFixture(t, 1)
	f.evacuate("north", "west")
	s := sends(f.submit(1, job(1)))[0]
	require.Equal(t, "east", f.domainOf(s.Agent))
	f.evacuate("east")
	done := wire.Result{ID: s.Update.Tasks[0].ID, Outcome: task.Outcome{State: task.Complete}}
	got := answers(f.step(Received{Agent: s.Agent, Session: s.Session, Report: f.report(s.Agent, 0, done)}))
	require.Len(t, got, 1)
	require.Equal(t, task.Complete, got[0].State)
}

// With all failure domains of a service evacuated, what waits and what comes is
// refused at once as not run, with the reason and a time to come back. What was sent
// follows when it comes back. The end of the evacuation needs nothing else.
func TestAllDomainsEvacuated(t *testing.T) {
	f := domainFixture(t, 1)
	sent := sends(f.submit(1, job(3*benchSlots)))
	f.submit(2, job(1))
	refused := answers(f.evacuate("east", "north", "west"))
	require.Len(t, refused, 1, "the one that waits")
	refused = append(refused, answers(f.submit(3, job(1)))...)
	for _, s := range sent {
		refused = append(refused, answers(f.refuse(s, task.ReasonEvacuated))...)
	}
	require.Len(t, refused, 3)
	for _, a := range refused {
		require.Equal(t, task.NotRun, a.State)
		require.Equal(t, task.ReasonEvacuated, a.Reason)
		require.Equal(t, evacuatedRetryAfter, a.RetryAfter)
		require.Contains(t, a.Detail, "all failure domains")
		require.Contains(t, a.Detail, "evacuated")
	}
	f.evacuate("east", "north")
	require.Empty(t, answers(f.submit(4, job(1))))
}

// An agent elsewhere that is only out of reach for a moment does not make all failure
// domains evacuated: what waits goes on waiting for it.
func TestDomainOutOfReachIsNotEvacuated(t *testing.T) {
	f := domainFixture(t, 1)
	f.submit(1, job(3*benchSlots))
	f.submit(2, job(1))
	a := f.e.agents["west-0"]
	f.step(Disconnected{Agent: a.ID, Session: a.session})
	require.Empty(t, answers(f.evacuate("east", "north")))
	got := answers(f.submit(3, job(1)))
	require.Len(t, got, 1)
	require.Equal(t, task.ReasonNoUpstream, got[0].Reason)
}

// A job that only an evacuated failure domain could run is refused with that reason,
// and not as one that never fits.
func TestJobThatFitsOnlyEvacuatedDomain(t *testing.T) {
	f := domainFixture(t, 1)
	for _, id := range []string{"north-0", "west-0"} {
		w := wire.Worker{Service: "svc", Slots: benchSlots, Offered: task.Resources{MilliCPU: 1000}}
		r := f.report(id, benchSlots)
		r.Worker = &w
		f.step(Received{Agent: id, Session: f.e.agents[id].session, Report: r})
	}
	f.evacuate("east")
	sub := job(1)
	sub.Tasks[0].Need = task.Resources{MilliCPU: 5000}
	got := answers(f.submit(1, sub))
	require.Len(t, got, 1)
	require.Equal(t, task.ReasonEvacuated, got[0].Reason)
	require.NotZero(t, got[0].RetryAfter)
}

// An entry that restarts during an evacuation learns of it with its first
// configuration, whether that comes before its sessions or after them. An order that
// arrives late changes nothing.
func TestRestartedEntryKeepsEvacuation(t *testing.T) {
	before := domainFixture(t, 1)
	before.evacuate("east")
	cfg := before.e.cfg
	for name, configFirst := range map[string]bool{"configuration first": true, "sessions first": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.e = New(Options{Self: wire.Peer{Role: wire.RoleEntry, ID: "e", Incarnation: 2}, Order: queue.LeftOverSlowdown})
			if !configFirst {
				f.addDomains(1)
			}
			f.step(ConfigChanged{Config: cfg})
			if configFirst {
				f.addDomains(1)
			}
			older := *cfg
			older.Index--
			older.Domains = nil
			f.step(ConfigChanged{Config: &older})
			view := map[string]bool{}
			for _, a := range f.e.View().Agents {
				view[a.Domain] = a.Evacuated
			}
			require.Equal(t, map[string]bool{"east": true, "north": false, "west": false}, view)
			for _, s := range sends(f.submit(1, job(3*benchSlots))) {
				require.NotEqual(t, "east", f.domainOf(s.Agent))
			}
		})
	}
}

// The lost slots leave the limit and the forecast at once, also if the agents have
// reported the loss before the entry learns its cause. Of a steady load under which
// work waits, what the rest can't carry in time is refused at once with the time
// until it could be.
func TestLimitsFollowEvacuation(t *testing.T) {
	for name, agentsFirst := range map[string]bool{"agents learn first": true, "entry learns first": false} {
		t.Run(name, func(t *testing.T) {
			f := urgentFixture(t, 2)
			svc := f.e.services["svc"]
			svc.forecast = forecast{windows: minForecastWindows, measuredAt: time.Hour, rate: 30, windowEnd: time.Hour}
			svc.limit.SetBounds(f.e.limitBounds(svc))
			limit := svc.limit.Limit(f.now)
			require.Equal(t, 6*benchSlots, svc.pool.Slots())
			submit := func(n uint64, tasks int) []Effect {
				sub := job(tasks)
				sub.Objective = 3 * time.Second
				for i := range sub.Tasks {
					sub.Tasks[i].DeclaredRunTime = time.Second
				}
				return f.submit(n, sub)
			}
			submit(1, 6*benchSlots)
			require.Empty(t, answers(submit(2, 45)))
			if agentsFirst {
				for _, id := range []string{"east-0", "east-1"} {
					r := f.report(id, 0)
					r.Slots = 0
					f.step(Received{Agent: id, Session: f.e.agents[id].session, Report: r})
				}
			}
			require.Empty(t, answers(f.evacuate("east")))
			require.Equal(t, 4*benchSlots, svc.pool.Slots())
			require.InDelta(t, 20, svc.forecast.rate, 0.01)
			require.InDelta(t, limit*2/3, svc.limit.Limit(f.now), float64(limit)/100)
			got := answers(submit(3, 1))
			require.Len(t, got, 1, "45 s of work wait, 20 are placed a second, and 2 s are left")
			require.Equal(t, task.ReasonOverload, got[0].Reason)
			require.Equal(t, minOverloadRetryAfter, got[0].RetryAfter)
			require.Contains(t, got[0].Detail, "would wait 2.25s")
		})
	}
}

// Submissions that wait when a failure domain is evacuated and can't start in time in
// the rest are refused at once; those before them still wait.
func TestWaitingSubmissionsAreCheckedAgain(t *testing.T) {
	f := urgentFixture(t, 1)
	f.e.services["svc"].forecast = forecast{windows: minForecastWindows, measuredAt: time.Hour, rate: 30, windowEnd: time.Hour}
	f.submit(1, job(3*benchSlots))
	for n := range uint64(4) {
		sub := job(20)
		sub.Objective, sub.Priority = 4*time.Second, uint32(n)
		for i := range sub.Tasks {
			sub.Tasks[i].DeclaredRunTime = time.Second
		}
		require.Empty(t, answers(f.submit(2+n, sub)))
	}
	got := answers(f.evacuate("east"))
	require.Len(t, got, 1, "40 s of work are ahead of the third and 60 s of the last, 20 are placed a second, and 3 s are left")
	require.Equal(t, task.NewSubmissionID(1, 5), got[0].ID)
	require.Equal(t, task.ReasonOverload, got[0].Reason)
	require.Equal(t, task.NotRun, got[0].State)
}

// Members of job locks in an evacuated failure domain stay members.
func TestEvacuationKeepsLockMembers(t *testing.T) {
	f := newLockFixture(t, time.Second)
	f.addDomains(2)
	members := func() []string {
		var ids []string
		for _, a := range f.e.lockAgentsOf("job-1") {
			ids = append(ids, a.ID)
		}
		return ids
	}
	before := members()
	require.Len(t, before, lockMembers)
	f.evacuate("east", "north")
	require.Equal(t, before, members())
}

// Sessions that end and begin during an evacuation, and changes of the service, leave
// no agent counted twice or in the pool.
func TestWithheldAgentsAreCountedOnce(t *testing.T) {
	f := domainFixture(t, 1)
	f.evacuate("east")
	svc := f.e.services["svc"]
	a := f.e.agents["east-0"]
	for range 3 {
		out := f.step(Disconnected{Agent: a.ID, Session: a.session})
		require.Zero(t, svc.withheld.count)
		for _, eff := range out {
			if dial, ok := eff.(Dial); ok {
				f.connect(dial)
			}
		}
		require.Equal(t, 1, svc.withheld.count)
		require.Equal(t, 2, svc.pool.Len())
	}
	r := f.report(a.ID, 1)
	r.Worker = &wire.Worker{Service: "other", Slots: 1}
	f.step(Received{Agent: a.ID, Session: a.session, Report: r})
	require.Zero(t, svc.withheld.count)
	require.Equal(t, 1, f.e.services["other"].withheld.count)
	f.evacuate()
	require.Equal(t, 1, f.e.services["other"].pool.Len())
	for _, s := range f.e.services {
		require.Zero(t, s.withheld.count)
	}
}
