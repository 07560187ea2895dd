package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// benchAgent is an agent under steady load: every slot is in use, and each end of
// a run is followed by the next task.
type benchAgent struct {
	s    *State
	now  time.Duration
	out  []Effect
	seq  []uint64
	seen []uint64
	task uint64
	runs []RunID
}

func newBenchAgent(entries, slots int) *benchAgent {
	a := &benchAgent{s: newTestState(Config{}), seq: make([]uint64, entries), seen: make([]uint64, entries)}
	up := testUpstream("a", true)
	up.Slots, up.Connections, up.Lease = uint32(slots), uint32(8*slots), time.Hour
	a.step(Announced{up})
	for i := range entries {
		a.step(SessionOpened{Session: SessionID(i + 1), Hello: hello(uint64(i+1), 1)})
	}
	for range slots {
		a.assign(int(a.task) % entries)
	}
	return a
}

func (a *benchAgent) step(ev Event) {
	a.now += time.Microsecond
	a.out = a.s.Step(a.now, ev, a.out[:0])
	for _, eff := range a.out {
		switch eff := eff.(type) {
		case StartRun:
			a.runs = append(a.runs, eff.Run)
		case SendReport:
			a.seen[eff.Session-1] = eff.Report.Seq
		}
	}
}

func (a *benchAgent) assign(entry int) {
	a.task++
	a.seq[entry]++
	a.step(UpdateReceived{Session: SessionID(entry + 1), Update: &wire.Update{
		Seq: a.seq[entry], Ack: a.seen[entry], SentAt: a.now, Demand: wire.Demand{Waiting: 1, Rank: 1},
		Tasks: []wire.Assignment{{
			ID:          task.ID{Submission: task.NewSubmissionID(uint64(entry+1), a.task)},
			StartWithin: time.Hour,
		}},
	}})
}

// BenchmarkStep measures pairs of events: a run ends, and the next task arrives.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ entries, slots int }{{2, 8}, {24, 64}} {
		b.Run(fmt.Sprintf("entries=%d/slots=%d", size.entries, size.slots), func(b *testing.B) {
			a := newBenchAgent(size.entries, size.slots)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				run := a.runs[0]
				a.runs = a.runs[1:]
				a.step(RunEnded{Run: run, End: EndComplete})
				a.assign(i % size.entries)
			}
			b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
