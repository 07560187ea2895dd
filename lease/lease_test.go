package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

const (
	instance = "i-1@1000"
	firstRun = agent.RunID(1)
)

// bench drives one State and collects what it does.
type bench struct {
	t       *testing.T
	s       *State
	now     time.Duration
	starts  []StartCall
	stops   []StopCall
	holds   []HoldCall
	events  []agent.Event
	upClock time.Duration
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, s: New(Config{}, 100), now: time.Second, upClock: time.Hour}
}

func (b *bench) step(ev Event) {
	for _, eff := range b.s.Step(b.now, ev, nil) {
		switch eff := eff.(type) {
		case StartCall:
			b.starts = append(b.starts, eff)
		case StopCall:
			b.stops = append(b.stops, eff)
		case HoldCall:
			b.holds = append(b.holds, eff)
		case Notify:
			b.events = append(b.events, eff.Event)
		}
	}
}

// pass lets time pass, with the ticks that the state asks for.
func (b *bench) pass(d time.Duration) {
	until := b.now + d
	for {
		at, ok := b.s.Next()
		if !ok || at > until {
			break
		}
		b.now = max(b.now, at)
		b.step(Tick{})
	}
	b.now = until
	b.step(Tick{})
}

// answer answers the newest hold under way.
func (b *bench) answer(v View) {
	v.Clock = b.upClock + b.now
	under := b.s.holds[len(b.s.holds)-1]
	b.step(HoldAnswered{Call: under.call, Result: HoldOK, View: v})
}

func announced(seq uint64) Announced {
	return Announced{ID: "i-1", Born: 1000, Seq: seq, Upstream: agent.Upstream{Instance: instance, Addr: "10.0.0.1:80", Leased: true}}
}

// ready brings the upstream up.
func (b *bench) ready() *bench {
	b.step(announced(1))
	b.answer(View{})
	require.Contains(b.t, b.events, agent.Event(agent.Announced{Upstream: announced(1).Upstream}))
	b.events = nil
	return b
}

func startOf(id agent.RunID, name string) Start {
	return Start{Run: agent.StartRun{Run: id, ID: task.ID{Index: uint32(id)}, Name: name, StartBy: time.Hour}}
}

// begin starts a run and answers the call.
func (b *bench) begin(id agent.RunID, name string) {
	b.step(startOf(id, name))
	b.step(StartAnswered{Call: b.starts[len(b.starts)-1].Call, Result: StartTaken, Clock: b.upClock + b.now})
}

func (b *bench) ends() []agent.RunEnded {
	var out []agent.RunEnded
	for _, ev := range b.events {
		if e, ok := ev.(agent.RunEnded); ok {
			out = append(out, e)
		}
	}
	return out
}

func TestEndIsReportedOnceAndAcknowledged(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	ended := []Ended{{Seq: 1, Task: "a", Run: 1, How: EndDone}}
	b.answer(View{Ended: ended})
	require.Equal(t, agent.EndComplete, b.ends()[0].End)
	b.pass(idleAckDelay)
	require.Equal(t, uint64(1), b.holds[len(b.holds)-1].Seen)
	b.answer(View{Ended: ended})
	require.Len(t, b.ends(), 1, "an end that is listed again is no news")
}

// A start without an answer may be carried out for seconds. It counts until a
// list under a higher token shows that it was not, and never will be.
func TestStartWithoutAnswerIsRuledOutByTheToken(t *testing.T) {
	b := newBench(t).ready()
	b.step(startOf(firstRun, "a"))
	old := b.starts[0].Fence
	before := len(b.holds)
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartLost})
	require.Empty(t, b.ends())
	require.Len(t, b.holds, before+1)
	require.Greater(t, b.holds[before].Fence, old)
	b.answer(View{})
	require.Len(t, b.starts, 2, "it is sent again")
	require.Greater(t, b.starts[1].Fence, old)
	require.Equal(t, b.starts[0].Run, b.starts[1].Run)
}

// A list from before the raised token says nothing about a lost start.
func TestOlderListDoesNotSettleALostStart(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	long := b.holds[len(b.holds)-1]
	b.step(startOf(2, "b"))
	b.step(StartAnswered{Call: b.starts[1].Call, Result: StartLost})
	b.step(HoldAnswered{Call: long.Call, Result: HoldOK, View: View{Running: []Running{{Task: "a", Run: 1}}}})
	require.Empty(t, b.ends())
	require.Len(t, b.starts, 2)
}

func TestLostStartThatWasCarriedOutRuns(t *testing.T) {
	b := newBench(t).ready()
	b.step(startOf(firstRun, "a"))
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartLost})
	b.answer(View{Running: []Running{{Task: "a", Run: 1}}})
	require.Len(t, b.starts, 1)
	b.answer(View{Ended: []Ended{{Seq: 1, Task: "a", Run: 1, How: EndDone}}})
	require.Equal(t, agent.EndComplete, b.ends()[0].End)
}

// Without answers a run counts until its lease has surely run out, by a clock
// that may be slow.
func TestSilentUpstreamsRunsCountUntilTheLeaseIsOver(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	sent := func() time.Duration {
		last := time.Duration(0)
		for _, h := range b.holds {
			last = max(last, h.Until)
		}
		return last - b.upClock
	}
	b.pass(time.Second)
	require.Empty(t, b.ends(), "the holds without an answer may have been carried out")
	until := sent()
	b.pass(until - b.now)
	require.Empty(t, b.ends(), "the upstream's clock may be slow")
	b.pass(time.Second)
	require.Equal(t, until, sent(), "nothing renews the leases of an upstream that does not answer")
	require.Equal(t, agent.EndCutOff, b.ends()[0].End)
}

func TestRunsOfAPredecessorAreStoppedBeforeAnythingStarts(t *testing.T) {
	b := newBench(t)
	b.step(announced(1))
	b.answer(View{Running: []Running{{Task: "old", Run: 3}}})
	require.Equal(t, "old", b.stops[0].Task)
	require.Empty(t, b.events, "it is not announced yet")
	b.step(startOf(firstRun, "a"))
	require.Equal(t, agent.EndRejected, b.ends()[0].End)
	b.step(StopAnswered{Call: b.stops[0].Call, OK: true})
	b.answer(View{Ended: []Ended{{Seq: 1, Task: "old", Run: 3, How: EndStopped}}})
	require.Contains(t, b.events, agent.Event(agent.Announced{Upstream: announced(1).Upstream}))
}

func TestAnotherLifeEndsEveryRun(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	next := announced(1)
	next.Born, next.Upstream.Instance = 2000, "i-1@2000"
	b.step(next)
	require.Equal(t, agent.EndCutOff, b.ends()[0].End)
}

func TestLateAnnouncementOfAnOlderLifeIsIgnored(t *testing.T) {
	b := newBench(t).ready()
	old := announced(9)
	old.ID, old.Born, old.Upstream.Instance = "i-0", 500, "i-0@500"
	b.step(old)
	b.begin(firstRun, "a")
	require.Equal(t, instance, b.starts[0].Target.Instance)
}

func TestFencedStartIsSentAgain(t *testing.T) {
	b := newBench(t).ready()
	b.step(startOf(firstRun, "a"))
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartFenced})
	require.Greater(t, b.starts[1].Fence, b.starts[0].Fence)
	require.Empty(t, b.ends())
}

func TestSilentUpstreamIsReportedAndProbed(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	b.pass(time.Second)
	require.Contains(t, b.events, agent.Event(agent.Silent{Instance: instance}))
	b.step(Probe{Instance: instance})
	b.answer(View{Running: []Running{{Task: "a", Run: 1}}})
	require.Contains(t, b.events, agent.Event(agent.Probed{Instance: instance, OK: true}))
}

// Lost calls come in spells: an end must not wait behind a lost long hold.
func TestLostHoldIsFollowedSoon(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	b.pass(DefaultConfig().Wait + DefaultConfig().AnswerWithin)
	sent := len(b.holds)
	b.pass(2 * (DefaultConfig().LossyWait + DefaultConfig().LossyAnswerWithin))
	require.Greater(t, len(b.holds), sent)
}

// A run that stands still holds room that others need; one that is only slow
// moves on.
func TestRunWithoutProgressIsReported(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	b.begin(2, "b")
	list := func(a, b int) View {
		return View{Running: []Running{{Task: "a", Run: 1, Percent: a}, {Task: "b", Run: 1, Percent: b}}}
	}
	for i := range 6 {
		b.pass(100 * time.Millisecond)
		b.answer(list(7, i))
	}
	require.Contains(t, b.events, agent.Event(agent.Stalled{Run: firstRun}))
	require.NotContains(t, b.events, agent.Event(agent.Stalled{Run: 2}))
}

// After a pause of this process the lists tell how runs ended; they are not
// taken for lapsed unseen.
func TestPausedProcessAsksBeforeItGivesRunsUp(t *testing.T) {
	b := newBench(t).ready()
	b.begin(firstRun, "a")
	b.now += 3 * time.Second
	b.step(Tick{})
	require.Empty(t, b.ends())
	b.answer(View{Ended: []Ended{{Seq: 1, Task: "a", Run: 1, How: EndDone}}})
	require.Equal(t, agent.EndComplete, b.ends()[0].End)
}
