package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/daemon"
	"github.com/fireflytray/fireflytray/httpapi"
)

// The load on one entry.
const (
	fastClients    = 48
	idleClients    = 40
	longestRunTime = 60 * time.Millisecond
	shortestIdle   = 500 * time.Millisecond
	longestIdle    = 4 * time.Second
	loadTime       = 300 * time.Millisecond
)

// entryClients returns the clients of one entry: some send at a high rate, some
// leave their connections idle in between. A quarter of them connect only while
// the entry is ready, the others until it refuses connections.
func (f *platformFleet) entryClients(seed uint64, entry int, next func(*rand.Rand) func() request) []*client {
	var list []*client
	ready := f.watchReadiness(entry)
	for i := range uint64(fastClients + idleClients) {
		rng := rand.New(rand.NewPCG(seed, uint64(entry)<<32|i))
		c := f.newClient(f.clientAddrs[entry], next(rng))
		c.pause = pauses(rng, 0, refusalPause)
		if i >= fastClients {
			c.pause = pauses(rng, shortestIdle, longestIdle)
		}
		if i%4 == 0 {
			c.ready = ready
		}
		list = append(list, c)
	}
	return list
}

// ends records when processes ended.
type ends struct {
	mu   sync.Mutex
	list []time.Time
}

// await waits for the end of a process and records its time.
func (e *ends) await(t *testing.T, p *process) int {
	t.Helper()
	code := p.awaitExit(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, time.Now())
	return code
}

// restartFleet returns a fleet and the load on its entries.
func restartFleet(t *testing.T, seed uint64, jobs func(*platformFleet, *rand.Rand) func() request) (*platformFleet, *load) {
	t.Helper()
	f := newPlatformFleet(t, 1, 2, 2)
	var clients []*client
	for i := range f.entries {
		clients = append(clients, f.entryClients(seed, i, func(rng *rand.Rand) func() request { return jobs(f, rng) })...)
	}
	return f, startLoad(t, clients)
}

func shortJobs(f *platformFleet, rng *rand.Rand) func() request { return f.jobs(rng, longestRunTime) }

// awaitListening waits until a process listens on an address. It handles signals
// by then.
func awaitListening(t *testing.T, p *process, addr string) {
	t.Helper()
	poll(t, p.name+" listens", func() string {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return err.Error()
		}
		conn.Close()
		return ""
	})
}

// restart stops all entries in rounds and starts each again after it has ended
// with code 0 or one of the given codes. It returns when they ended.
func (f *platformFleet) restart(rounds int, stop func(round int, p *process), codes ...int) []time.Time {
	f.t.Helper()
	codes = append(codes, daemon.ExitOK)
	var e ends
	var wg sync.WaitGroup
	for i, p := range f.entries {
		wg.Go(func() {
			for round := range rounds {
				time.Sleep(loadTime)
				stop(round, p)
				if code := e.await(f.t, p); !slices.Contains(codes, code) {
					f.t.Errorf("%s ended with code %d", p.name, code)
				}
				p.start(f.t)
				awaitListening(f.t, p, f.clientAddrs[i])
			}
		})
	}
	wg.Wait()
	for i := range f.entries {
		f.awaitServing(i)
	}
	return e.list
}

// check compares what the clients of a load saw with the recorded runs.
func (f *platformFleet) check(l *load, ends []time.Time) {
	f.t.Helper()
	list := l.end()
	f.checkJobs(list)
	requireAnswered(f.t, list, ends)
}

// A restarted entry cuts no request on its open connections.
func TestRestartedEntryCutsNoRequest(t *testing.T) {
	for name, prepare := range map[string]func(*process){
		"two threads": func(*process) {},
		"one thread":  func(p *process) { p.args = append([]string{"/usr/bin/env", "GOMAXPROCS=1"}, p.args...) },
	} {
		t.Run(name, func(t *testing.T) {
			f, l := restartFleet(t, 1, shortJobs)
			for _, p := range f.entries {
				prepare(p)
			}
			f.check(l, f.restart(4, func(_ int, p *process) { p.signal(t, syscall.SIGTERM) }))
		})
	}
}

// An entry that gets a fifth of a processor cuts no request when it is restarted.
func TestRestartedStarvedEntryCutsNoRequest(t *testing.T) {
	f, l := restartFleet(t, 2, shortJobs)
	f.check(l, f.restart(3, func(_ int, p *process) {
		p.signal(t, syscall.SIGTERM)
		go starve(p.cmd.Process, p.ended)
	}))
}

// starve stops and continues a process in turns until it has ended, as a limit of
// its processor time does.
func starve(proc *os.Process, ended <-chan struct{}) {
	for {
		_ = proc.Signal(syscall.SIGSTOP) // it may have ended
		time.Sleep(starvePeriod - starveShare)
		_ = proc.Signal(syscall.SIGCONT)
		select {
		case <-ended:
			return
		case <-time.After(starveShare):
		}
	}
}

const (
	starvePeriod = 100 * time.Millisecond
	starveShare  = 10 * time.Millisecond
)

// Tasks that run when their entry gets SIGTERM are answered.
func TestRestartedEntryAnswersRunningTasks(t *testing.T) {
	const runTime = time.Second
	f, l := restartFleet(t, 3, func(f *platformFleet, rng *rand.Rand) func() request { return f.jobs(rng, runTime) })
	f.check(l, f.restart(3, func(_ int, p *process) { p.signal(t, syscall.SIGTERM) }))
}

// A reload during the drain neither ends the drain nor cuts a request.
func TestReloadDuringDrainCutsNoRequest(t *testing.T) {
	f, l := restartFleet(t, 4, shortJobs)
	f.check(l, f.restart(3, func(round int, p *process) {
		p.signal(t, syscall.SIGTERM)
		for range 4 {
			time.Sleep(time.Duration(100+150*round) * time.Millisecond)
			p.signal(t, syscall.SIGHUP)
		}
	}))
}

// A second SIGTERM during the drain cuts no request.
func TestSecondSignalDuringDrainCutsNoRequest(t *testing.T) {
	f, l := restartFleet(t, 5, shortJobs)
	f.check(l, f.restart(4, func(round int, p *process) {
		p.signal(t, syscall.SIGTERM)
		time.Sleep(time.Duration(100+400*round) * time.Millisecond)
		p.signal(t, syscall.SIGTERM)
	}))
}

// killedBySignal is the exit code of a process that a signal ended before it
// handled signals, and thus before it listened.
const killedBySignal = -1

// An entry that gets SIGTERM while it starts cuts no request.
func TestSignalDuringStartCutsNoRequest(t *testing.T) {
	f, l := restartFleet(t, 6, shortJobs)
	rng := rand.New(rand.NewPCG(6, 0))
	var delays [3]time.Duration
	for i := range delays {
		delays[i] = time.Duration(20+rng.IntN(200)) * time.Millisecond
	}
	var first ends
	list := f.restart(len(delays), func(round int, p *process) {
		p.signal(t, syscall.SIGTERM)
		first.await(t, p)
		p.start(t)
		time.Sleep(delays[round])
		p.signal(t, syscall.SIGTERM)
	}, killedBySignal)
	f.check(l, append(list, first.list...))
}

// Entries that are restarted one after the other in quick series cut no request.
func TestEntriesRestartedInSeriesCutNoRequest(t *testing.T) {
	const interval = 400 * time.Millisecond
	f, l := restartFleet(t, 7, shortJobs)
	var e ends
	var wg sync.WaitGroup
	for range 3 {
		for i, p := range f.entries {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * interval)
				p.signal(t, syscall.SIGTERM)
				if code := e.await(t, p); code != 0 {
					t.Errorf("%s ended with code %d", p.name, code)
				}
				p.start(t)
				awaitListening(t, p, f.clientAddrs[i])
			})
		}
		wg.Wait()
	}
	for i := range f.entries {
		f.awaitServing(i)
	}
	f.check(l, e.list)
}

// Connections on which no request has been sent do not keep the entry from answering
// the requests in flight.
func TestSilentConnectionsDoNotCutRequests(t *testing.T) {
	f, l := restartFleet(t, 8, shortJobs)
	f.check(l, f.restart(2, func(round int, p *process) {
		p.signal(t, syscall.SIGTERM)
		time.Sleep(time.Duration(round) * 1500 * time.Millisecond)
		i := slices.Index(f.entries, p)
		for _, addr := range []string{f.callerAddrs[i], f.clientAddrs[i], f.readyAddrs[i]} {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Errorf("%s refuses connections while it drains: %v", p.name, err)
				continue
			}
			t.Cleanup(func() { conn.Close() })
		}
	}))
}

// A restarted agent does not make an entry cut requests, and no task that it ended
// is answered as completed.
func TestRestartedAgentCutsNoRequest(t *testing.T) {
	f, l := restartFleet(t, 9, func(f *platformFleet, rng *rand.Rand) func() request { return f.jobs(rng, 300*time.Millisecond) })
	var e ends
	for i := range 4 {
		p := f.agents[i%len(f.agents)]
		time.Sleep(loadTime)
		p.signal(t, syscall.SIGTERM)
		if code := e.await(t, p); code != 0 {
			t.Errorf("%s ended with code %d", p.name, code)
		}
		p.start(t)
		awaitListening(t, p, f.heartbeatAddrs[i%len(f.agents)])
		time.Sleep(time.Second)
	}
	f.check(l, e.list)
}

// interfaceClients returns clients that send the same request at a high rate or are
// idle in between.
func (f *platformFleet) interfaceClients(seed uint64, addr string, next func(i int) func() request) []*client {
	var list []*client
	for i := range fastClients {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		c := f.newClient(addr, next(i))
		c.pause = pauses(rng, 0, refusalPause)
		if i%3 == 0 {
			c.pause = pauses(rng, loadTime/10, loadTime)
		}
		list = append(list, c)
	}
	return list
}

// A stopped control host answers each request of an operator that it has read.
func TestStoppedControlHostAnswersOperators(t *testing.T) {
	f := newPlatformFleet(t, 3, 1, 1)
	version := 1
	l := startLoad(t, f.interfaceClients(10, f.operatorAddrs[0], func(i int) func() request {
		if i > 0 {
			return func() request { return request{"read", requestText(http.MethodGet, "/config", "")} }
		}
		return func() request {
			version++
			return request{fmt.Sprintf("version %d", version), requestText(http.MethodPut, "/config", document(version))}
		}
	}))
	times := f.restartOne(f.controls[0], 6, f.operatorAddrs[0])
	requireAnswered(t, l.end(), times)
}

// A stopped agent answers each heartbeat that it has read.
func TestStoppedAgentAnswersHeartbeats(t *testing.T) {
	f := newPlatformFleet(t, 1, 1, 2)
	l := startLoad(t, f.interfaceClients(11, f.heartbeatAddrs[0], func(int) func() request {
		// An earlier start of the upstream: the agent takes the heartbeat and
		// ignores it.
		body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":8,"state":"ready","seq":1,"born":1,"capacity":{"cpu":1000,"memMb":1000}}`, service, f.upstreamAddrs[0])
		return func() request {
			return request{"heartbeat", requestText(http.MethodPut, "/instances/"+upstreamID(0), body)}
		}
	}))
	times := f.restartOne(f.agents[0], 6, f.heartbeatAddrs[0])
	requireAnswered(t, l.end(), times)
}

// restartOne stops and starts one process in rounds and returns when it ended.
func (f *platformFleet) restartOne(p *process, rounds int, addr string) []time.Time {
	f.t.Helper()
	var e ends
	for range rounds {
		time.Sleep(loadTime)
		p.signal(f.t, syscall.SIGTERM)
		if code := e.await(f.t, p); code != 0 {
			f.t.Errorf("%s ended with code %d", p.name, code)
		}
		p.start(f.t)
		awaitListening(f.t, p, addr)
	}
	return e.list
}

// A restarted entry cuts no request on open connections of the product's own
// interface.
func TestRestartedEntryCutsNoCaller(t *testing.T) {
	c := newCluster(t)
	var clients []*client
	for i, addr := range c.callerAddrs {
		for j := range uint64(fastClients + idleClients) {
			rng := rand.New(rand.NewPCG(12, uint64(i)<<32|j))
			next := func() request {
				token := newToken()
				return request{token, requestText(http.MethodPost, "/v1/services/"+service+"/requests",
					string(payload(token, rng.IntN(int(longestRunTime/time.Millisecond)))), httpapi.HeaderTeam+": "+team)}
			}
			one := &client{t: t, addr: addr, next: next, pause: pauses(rng, 0, refusalPause)}
			if j >= fastClients {
				one.pause = pauses(rng, shortestIdle, longestIdle)
			}
			clients = append(clients, one)
		}
	}
	l := startLoad(t, clients)
	var e ends
	var wg sync.WaitGroup
	for i, p := range c.entries {
		wg.Go(func() {
			for range 3 {
				time.Sleep(loadTime)
				p.signal(t, syscall.SIGTERM)
				if code := e.await(t, p); code != 0 {
					t.Errorf("%s ended with code %d", p.name, code)
				}
				p.start(t)
				awaitListening(t, p, c.callerAddrs[i])
			}
		})
	}
	wg.Wait()
	list := l.end()
	requireAnswered(t, list, e.list)
	c.checkStarts(callerAnswers(t, list))
}

// callerAnswers converts answers of the product's own interface.
func callerAnswers(t *testing.T, list []exchange) []answer {
	t.Helper()
	var out []answer
	for _, x := range list {
		if x.ending != answered {
			continue
		}
		a := answer{status: x.status, header: x.header, tokens: []string{x.id}, outcomes: [][]byte{[]byte(x.body)},
			id: x.header.Get(httpapi.HeaderSubmission), state: x.header.Get(httpapi.HeaderState)}
		if x.status >= http.StatusBadRequest {
			require.NoError(t, json.Unmarshal([]byte(x.body), &a.problem))
			a.state, a.id = a.problem.State, a.problem.ID
		}
		out = append(out, a)
	}
	return out
}
