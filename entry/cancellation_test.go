package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// withdrawals lists the withdrawals in updates as agent.request.
func withdrawals(effects []Effect) []string {
	var out []string
	for _, s := range sends(effects) {
		for _, w := range s.Update.Withdraw {
			out = append(out, fmt.Sprintf("%s.%d", s.Agent, w.Request))
		}
	}
	return out
}

func outcomes(effects []Effect) []string {
	var out []string
	for _, eff := range effects {
		if c, ok := eff.(JobCancelled); ok {
			out = append(out, fmt.Sprintf("%d:%s", c.Request, c.Outcome))
		}
	}
	return out
}

func (f *fixture) cancelJob(request uint64) []Effect {
	return f.step(CancelJob{Request: request, Ref: testRef})
}

func (f *fixture) answerWithdrawal(agent string, request uint64, found bool) []string {
	r := f.report(agent, benchSlots)
	r.Withdrawn = []wire.WithdrawalAnswer{{Request: request, Found: found}}
	return outcomes(f.reply(agent, r))
}

// A DELETE that reached another entry than the holder was answered 410 unasked. It may be
// so only once a majority of the lock's members have said that nobody has the job.
func TestNoSuchJobIsSaidByAMajority(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3", "a4")
	members := f.members()
	out := f.cancelJob(5)
	require.ElementsMatch(t, locksAt(5, members...), withdrawals(out))
	require.Empty(t, outcomes(out))
	require.Empty(t, f.answerWithdrawal(members[0], 5, false))
	require.Empty(t, f.answerWithdrawal(members[0], 5, false), "counted once")
	require.Equal(t, []string{"5:no_such_job"}, f.answerWithdrawal(members[2], 5, false))
	require.Empty(t, f.answerWithdrawal(members[1], 5, true), "decided")
	require.Empty(t, f.e.cancellations)
}

// One member that has told the holder is enough.
func TestCancellationIsConfirmedByOneMember(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3")
	members := f.members()
	f.cancelJob(5)
	f.cancelJob(6)
	require.Empty(t, f.answerWithdrawal(members[1], 5, false))
	require.Equal(t, []string{"5:cancelled"}, f.answerWithdrawal(members[2], 5, true))
	require.Equal(t, []string{"6:cancelled"}, f.answerWithdrawal(members[2], 6, true))
}

// A restarted member doesn't know the locks of its predecessor, whose holders may go on.
func TestRestartedMemberCannotSayThatThereIsNoJob(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3")
	f.orphansEndWithin = 2 * time.Second
	members := f.members()
	f.restartLockAgent(members[0], 0)
	f.restartLockAgent(members[1], 0)
	f.cancelJob(5)
	require.Empty(t, f.answerWithdrawal(members[0], 5, false))
	require.Empty(t, f.answerWithdrawal(members[1], 5, false))
	require.Equal(t, []string{"5:unknown"}, f.answerWithdrawal(members[2], 5, false))
	f.cancelJob(6)
	require.Equal(t, []string{"6:cancelled"}, f.answerWithdrawal(members[0], 6, true))
}

// A client whose cancellation can't be decided was left without an answer, or told that
// there is no such job.
func TestCancellationThatNobodyAnswersIsUnknown(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3")
	members := f.members()
	f.cancelJob(5)
	require.Empty(t, f.answerWithdrawal(members[0], 5, false))
	require.Empty(t, outcomes(f.wait(cancellationTimeout-10*time.Millisecond)))
	require.Equal(t, []string{"5:unknown"}, outcomes(f.wait(10*time.Millisecond)))
	require.Empty(t, f.e.cancellations)
	for _, id := range members {
		f.step(Disconnected{Agent: id, Session: f.e.agents[id].session})
	}
	require.Equal(t, []string{"6:unknown"}, outcomes(f.cancelJob(6)), "no member in reach")
	require.Equal(t, []string{"1:unknown"}, outcomes(newFixture(t).cancelJob(1)), "no agent known")
}

// Where no agent keeps locks, nobody knows of the jobs of other entries: a client would be
// told to come back for ever, also for a job that has ended.
func TestCancellationIsDecidedWhereNoAgentKeepsLocks(t *testing.T) {
	require.Equal(t, []string{"5:no_such_job"}, outcomes(newFixture(t, "a1", "a2").cancelJob(5)))
}

// Cancellations that wait for answers are bounded.
func TestCancellationsThatWaitAreBounded(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3")
	for n := range uint64(maxCancellations) {
		require.Empty(t, outcomes(f.e.Step(f.now, CancelJob{Request: n, Ref: fmt.Sprint(n)}, nil)))
	}
	out := f.e.Step(f.now, CancelJob{Request: maxCancellations, Ref: testRef}, nil)
	require.Equal(t, []string{fmt.Sprintf("%d:unknown", maxCancellations)}, outcomes(out))
	require.Empty(t, withdrawals(out))
	require.Len(t, outcomes(f.wait(cancellationTimeout)), maxCancellations)
}

// The holder of a job went on when its job was cancelled at another entry. It stops its
// tasks, and acknowledges at once what the other entry waits for.
func TestHolderEndsJobCancelledAtAnotherEntry(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3")
	agent, id := f.startJob(1)
	member := f.members()[0]
	r := f.report(member, benchSlots)
	r.Cancelled = []wire.LockRef{{Ref: testRef, Submission: task.NewSubmissionID(1, 1)}}
	out := f.reply(member, r)
	require.Equal(t, task.ReasonCancelled, answers(out)[0].Reason)
	require.Equal(t, []task.ID{id}, cancels(out))
	acked := false
	for _, s := range sends(out) {
		acked = acked || s.Agent == member && s.Update.Ack == r.Seq
	}
	require.True(t, acked)
	require.Empty(t, releases(out), "the lock is kept while the run may go on")
	f.endTask(agent, id, task.Failed)
	require.Empty(t, f.e.lingering)
}

// A submission that its entry doesn't know any more would keep its lock.
func TestLockOfUnknownCancelledSubmissionIsReleased(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1")
	r := f.report("a1", benchSlots)
	r.Cancelled = []wire.LockRef{{Ref: testRef, Submission: task.NewSubmissionID(1, 9)}}
	require.Equal(t, locksAt(9, "a1"), releases(f.reply("a1", r)))
}

// An entry that had just started knew a part of the agents, chose the wrong ones as members
// of the job's lock, and answered "no such job" for one in progress. While its list may lack
// agents it asks all that it knows, and never says so.
func TestPartialListNeverSaysThatThereIsNoJob(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3", "a4", "a5")
	f.e.listComplete, f.e.listedSince = false, f.now
	all := []string{"a1", "a2", "a3", "a4", "a5"}
	require.ElementsMatch(t, locksAt(5, all...), withdrawals(f.cancelJob(5)))
	for _, id := range all {
		require.Empty(t, f.answerWithdrawal(id, 5, false))
	}
	require.Equal(t, []string{"5:unknown"}, outcomes(f.wait(membersTimeout)))
	f.cancelJob(6)
	require.Equal(t, []string{"6:cancelled"}, f.answerWithdrawal("a4", 6, true), "whoever knows the job ends it")

	f.now = f.e.listedSince + agentsListedWithin
	f.requireNoSuchJob(7, "all agents in reach have come back")
	f.e.listedSince = f.now
	f.step(DirectoryChanged{Directory: wire.Directory{Complete: true}})
	f.requireNoSuchJob(8, "a control host knows all agents")
}

// A cancellation that began on a partial list asks the members once they are known, so that
// its client needn't come back.
func TestCancellationWaitsForTheMembers(t *testing.T) {
	for name, known := range map[string]func(f *fixture) []Effect{
		"in time": func(f *fixture) []Effect { return f.wait(time.Second) },
		"by a complete list": func(f *fixture) []Effect {
			return f.step(DirectoryChanged{Directory: wire.Directory{Complete: true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			all := []string{"a1", "a2", "a3", "a4", "a5"}
			f := newLockFixture(t, testRunsEndWithin, all...)
			f.e.listComplete, f.e.listedSince = false, f.now-agentsListedWithin+time.Second
			f.cancelJob(5)
			for _, id := range all {
				require.Empty(t, f.answerWithdrawal(id, 5, false))
			}
			members := f.members()
			require.ElementsMatch(t, locksAt(5, members...), withdrawals(known(f)))
			require.Empty(t, f.answerWithdrawal(members[0], 5, false))
			require.Equal(t, []string{"5:no_such_job"}, f.answerWithdrawal(members[1], 5, false))
		})
	}
}

// requireNoSuchJob requires that two of the three members can say that there is no job.
func (f *fixture) requireNoSuchJob(request uint64, why string) {
	f.t.Helper()
	members := f.members()
	f.cancelJob(request)
	f.answerWithdrawal(members[0], request, false)
	require.Equal(f.t, []string{fmt.Sprintf("%d:no_such_job", request)}, f.answerWithdrawal(members[1], request, false), why)
}

// An entry that had been frozen requested a lock as if its submission had just arrived, and
// started a job that had been cancelled meanwhile.
func TestTimeInTheSocketCountsAsAgeOfASubmission(t *testing.T) {
	f := newLockFixture(t, testRunsEndWithin, "a1", "a2", "a3")
	sub := job(1)
	sub.Ref, sub.Service, sub.Team = testRef, "svc", teamName(0)
	const unread = 3500 * time.Millisecond
	var ages []time.Duration
	for _, s := range sends(f.step(Submit{ID: task.NewSubmissionID(1, 1), Sub: sub, Unread: unread})) {
		for _, r := range s.Update.Acquire {
			ages = append(ages, r.Age)
		}
	}
	require.NotEmpty(t, ages)
	for _, age := range ages {
		require.GreaterOrEqual(t, age, unread)
	}
}
