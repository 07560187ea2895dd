package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

const (
	worldStep     = 5 * time.Millisecond
	callTimeout   = 150 * time.Millisecond
	heartbeatTime = 1500 * time.Millisecond
	never         = time.Duration(1<<63 - 1)
	// leaseBound is the longest that a run lives after the last renewal was sent:
	// a lease of 1 s on a slow clock, and the coarse time of the test.
	leaseBound = time.Second*100/98 + 2*worldStep
	// stopBound is the longest that a run lives after it was to stop.
	stopBound = stopPatience + leaseBound
)

// wireCall is a call on its way. It is carried out at runAt and answered at
// answerAt; at timeoutAt the driver reports that it got no answer.
type wireCall struct {
	agentNo                    int
	effect                     Effect
	runAt, answerAt, timeoutAt time.Duration
	answerDelay                time.Duration
	waitUntil                  time.Duration
	answer                     Event
	handled                    bool
}

// weather is how the calls of one stretch fare.
type weather struct {
	// lostStops loses every stop.
	lostStops bool
	// lossPercent loses this share of the requests and of the answers;
	// latePercent delays this share by up to maxLate.
	lossPercent, latePercent int
	maxLate                  time.Duration
}

var weathers = []weather{
	{},
	{lostStops: true},
	{latePercent: 60, maxLate: 60 * time.Millisecond},
	{lossPercent: 20, latePercent: 30, maxLate: 400 * time.Millisecond},
	{lossPercent: 40, latePercent: 60, maxLate: 3 * time.Second},
	{lossPercent: 100},
}

// world connects one State after another to naive upstreams.
type world struct {
	t       *rapid.T
	now     time.Duration
	s       *State
	agentNo int
	up      *naiveUpstream
	upNo    int
	seq     uint64
	beatAt  time.Duration
	weather weather
	calls   []*wireCall
	trace   []string

	lastRun agent.RunID
	keys    map[agent.RunID]runKey
	// ended holds the runs whose end was reported, stopAt the times by which
	// runs must be over.
	ended  map[runKey]bool
	overBy map[runKey]time.Duration
	agents map[runKey]int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: 10 * time.Second, keys: map[agent.RunID]runKey{}, ended: map[runKey]bool{},
		overBy: map[runKey]time.Duration{}, agents: map[runKey]int{},
	}
	w.restartAgent()
	w.restartUpstream()
	return w
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fatalf("%s: "+format, append([]any{w.now}, args...)...)
}

// restartAgent replaces the agent. The runs of the old one must be over a lease
// later.
func (w *world) restartAgent() {
	w.agentNo++
	w.note("agent %d starts", w.agentNo)
	for key := range w.agents {
		w.mustEndBy(key, w.now+leaseBound)
	}
	w.s = New(Config{}, uint64(w.now/time.Millisecond))
	w.beatAt = w.now + time.Duration(rapid.Int64Range(0, int64(heartbeatTime)).Draw(w.t, "beat"))
}

func (w *world) restartUpstream() {
	w.upNo++
	rate := 0.98 + 0.02*float64(rapid.IntRange(0, 1).Draw(w.t, "rate"))
	w.up = newNaiveUpstream(fmt.Sprintf("i-1@%d", w.upNo), w.now, rate)
	w.note("upstream %d starts, rate %v", w.upNo, rate)
	w.beatAt = w.now
}

func (w *world) mustEndBy(key runKey, by time.Duration) {
	if old, ok := w.overBy[key]; !ok || by < old {
		w.overBy[key] = by
	}
}

// step passes an event to the agent and carries out the effects.
func (w *world) step(ev Event) {
	for _, eff := range w.s.Step(w.now, ev, nil) {
		switch eff := eff.(type) {
		case StartCall, StopCall, HoldCall:
			w.send(eff)
		case Notify:
			if e, ok := eff.Event.(agent.RunEnded); ok {
				w.checkEnd(e)
			}
		case LogLine:
			w.note("log %s %v", eff.Text, eff.KeyVals)
		}
	}
}

func (w *world) percent() int { return rapid.IntRange(0, 99).Draw(w.t, "percent") }

// transit draws the time that a message takes, never for one that is lost.
func (w *world) transit(isStop bool) time.Duration {
	switch p := w.percent(); {
	case isStop && w.weather.lostStops, p < w.weather.lossPercent:
		return never
	case p < w.weather.lossPercent+w.weather.latePercent:
		return time.Duration(rapid.Int64Range(0, int64(w.weather.maxLate)).Draw(w.t, "late"))
	}
	return worldStep
}

func (w *world) send(eff Effect) {
	c := &wireCall{agentNo: w.agentNo, effect: eff, answerAt: never, timeoutAt: w.now + callTimeout}
	_, isStop := eff.(StopCall)
	if h, ok := eff.(HoldCall); ok {
		c.timeoutAt = w.now + h.Wait + h.AnswerTimeout
	}
	c.runAt = w.transit(isStop)
	if c.runAt != never {
		c.runAt += w.now
	}
	c.answerDelay = w.transit(false)
	w.note("agent %d sends %T %+v, arrives %s", w.agentNo, eff, eff, c.runAt)
	w.calls = append(w.calls, c)
}

// checkEnd checks a reported end: the run must not go on and never start.
func (w *world) checkEnd(e agent.RunEnded) {
	key := w.keys[e.Run]
	w.note("end of %v reported: %d", key, e.End)
	if w.up.running[key] != nil {
		w.fail("%v is reported as ended (%d) but runs", key, e.End)
	}
	switch e.End {
	case agent.EndRefused, agent.EndBusy, agent.EndRejected, agent.EndExpired:
		if w.up.started[key] {
			w.fail("%v is reported as not started (%d) but was", key, e.End)
		}
	}
	w.ended[key] = true
}

// start requests a run of a task that has had none.
func (w *world) start() {
	w.lastRun++
	name := fmt.Sprintf("t%04d", w.lastRun)
	key := runKey{name, 1}
	w.keys[w.lastRun], w.agents[key] = key, w.agentNo
	startBy := w.now + time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "startBy"))*time.Millisecond
	w.step(Start{Run: agent.StartRun{Run: w.lastRun, ID: task.ID{Index: uint32(w.lastRun)}, Name: name, StartBy: startBy}})
}

// stop requests the end of a run of the agent.
func (w *world) stop() {
	runs := w.s.sortedRuns()
	if len(runs) == 0 {
		return
	}
	r := runs[rapid.IntRange(0, len(runs)-1).Draw(w.t, "run")]
	w.note("stop of %v requested", r.key)
	w.mustEndBy(r.key, w.now+stopBound)
	w.step(Stop{Run: r.Run})
}

// execute carries out a call at the upstream that it is meant for.
func (w *world) execute(c *wireCall) {
	c.runAt = never
	switch eff := c.effect.(type) {
	case StartCall:
		w.executeStart(c, eff)
	case StopCall:
		c.answer = StopAnswered{Call: eff.Call, Result: StopRefused}
		if eff.Target.Instance == w.up.instance {
			c.answer = w.up.stop(w.now, eff)
		}
	case HoldCall:
		switch {
		case eff.Target.Instance != w.up.instance:
			c.answer = HoldAnswered{Call: eff.Call, Result: HoldWrongInstance}
		case !w.up.hold(w.now, eff):
			c.answer = HoldAnswered{Call: eff.Call, Result: HoldFenced}
		default:
			c.waitUntil = w.now + eff.Wait
			return
		}
	}
	w.answered(c)
}

func (w *world) executeStart(c *wireCall, eff StartCall) {
	if eff.Target.Instance != w.up.instance {
		c.answer = StartAnswered{Call: eff.Call, Result: StartWrongInstance}
		return
	}
	key := runKey{eff.Task, eff.Run}
	before := w.up.running[key] != nil
	work := time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "work")) * time.Millisecond
	a := w.up.start(w.now, eff, work)
	w.note("start of %v: %d", key, a.Result)
	if !before && w.up.running[key] != nil && w.ended[key] {
		w.fail("%v starts after its end was reported", key)
	}
	c.answer = a
}

// answered sends the answer back.
func (w *world) answered(c *wireCall) {
	if c.answerDelay != never {
		c.answerAt = w.now + c.answerDelay
	}
}

// advance moves the time forward. A paused agent handles nothing.
func (w *world) advance(d time.Duration, paused bool) {
	for end := w.now + d; w.now < end; {
		w.now += worldStep
		w.up.advance(w.now)
		w.checkBounds()
		for _, c := range w.calls {
			if c.runAt <= w.now {
				w.execute(c)
			}
			w.answerHold(c)
		}
		if !paused {
			w.runAgent()
		}
	}
}

// answerHold answers a hold that was carried out once a run has ended or its wait
// is over.
func (w *world) answerHold(c *wireCall) {
	h, ok := c.effect.(HoldCall)
	if !ok || c.waitUntil == 0 || h.Target.Instance != w.up.instance {
		return
	}
	if len(w.up.ended) > 0 || w.now >= c.waitUntil {
		c.waitUntil = 0
		c.answer = HoldAnswered{Call: h.Call, Result: HoldOK, View: w.up.view(w.now)}
		w.answered(c)
	}
}

// runAgent delivers heartbeats, answers, time-outs and ticks.
func (w *world) runAgent() {
	if w.now >= w.beatAt {
		w.announce()
	}
	for _, c := range w.calls {
		if !c.handled && c.agentNo == w.agentNo && min(c.answerAt, c.timeoutAt) <= w.now {
			c.handled = true
			w.step(outcome(c))
		}
	}
	w.calls = deleteDone(w.calls, w.agentNo)
	if at, ok := w.s.Next(); ok && at <= w.now {
		w.step(Tick{})
	}
}

func (w *world) announce() {
	w.seq++
	w.beatAt = w.now + heartbeatTime
	w.step(Announced{
		ID: "i-1", Born: uint64(w.upNo), Seq: w.seq, Clock: w.up.clock(w.now),
		Upstream: agent.Upstream{Instance: w.up.instance, Addr: "10.0.0.1:80", Leased: true},
	})
}

// outcome returns what the driver reports of a call.
func outcome(c *wireCall) Event {
	if c.answerAt <= c.timeoutAt {
		return c.answer
	}
	switch eff := c.effect.(type) {
	case StartCall:
		return StartAnswered{Call: eff.Call}
	case StopCall:
		return StopAnswered{Call: eff.Call}
	case HoldCall:
		return HoldAnswered{Call: eff.Call}
	}
	return Tick{}
}

// deleteDone drops the calls that can have no further effect.
func deleteDone(calls []*wireCall, agentNo int) []*wireCall {
	var kept []*wireCall
	for _, c := range calls {
		if c.runAt != never || !c.handled && c.agentNo == agentNo {
			kept = append(kept, c)
		}
	}
	return kept
}

// checkBounds checks that no run outlives its bound.
func (w *world) checkBounds() {
	for _, key := range w.up.sortedRunning() {
		if by, ok := w.overBy[key]; ok && w.now > by {
			w.fail("%v runs, but had to be over by %s", key, by)
		}
	}
}

// settle checks that the agent knows every run once all calls are answered.
func (w *world) settle() {
	w.weather = weather{}
	w.advance(2*heartbeatTime, false)
	if !w.s.reconciled || len(w.s.stops) > 0 {
		w.fail("not settled: reconciled %v, %d stops", w.s.reconciled, len(w.s.stops))
	}
	for key := range w.s.runs {
		if w.up.running[key] == nil {
			w.advance(DefaultConfig().Wait+2*worldStep, false)
			break
		}
	}
	for key := range w.s.runs {
		if w.up.running[key] == nil && !w.up.closed[key] {
			w.fail("%v does not run but has not ended", key)
		}
	}
	for key := range w.up.running {
		if w.s.runs[key] == nil {
			w.fail("%v runs but is not known", key)
		}
	}
}

// An end is reported only when the run is over and can never start, and a run is
// over in time after it was to stop or its agent has ended, whatever calls are
// lost, delayed or reordered, and whichever process is paused or restarted.
func TestReportedEndsAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.advance(100*time.Millisecond, false)
		t.Repeat(map[string]func(*rapid.T){
			"start":  func(*rapid.T) { w.start() },
			"start2": func(*rapid.T) { w.start() },
			"stop":   func(*rapid.T) { w.stop() },
			"weather": func(t *rapid.T) {
				w.weather = rapid.SampledFrom(weathers).Draw(t, "weather")
				w.note("weather %+v", w.weather)
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond, false)
			},
			"advance a little": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms"))*time.Millisecond, false)
			},
			"pause": func(t *rapid.T) {
				w.note("pause")
				w.advance(time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms"))*time.Millisecond, true)
			},
			"restart agent": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.restartAgent()
				}
			},
			"restart upstream": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					w.restartUpstream()
				}
			},
		})
		w.settle()
	})
}
