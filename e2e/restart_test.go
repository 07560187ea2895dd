package e2e

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load on one entry.
const (
	fastClients    = 24
	idleClients    = 40
	longestRunTime = 60 * time.Millisecond
	shortestIdle   = 500 * time.Millisecond
	longestIdle    = 4 * time.Second
	loadTime       = 300 * time.Millisecond
)

// entryClients returns the clients of one entry: some send at a high rate, some
// leave their connections idle in between.
func (f *platformFleet) entryClients(seed uint64, entry int, next func(*rand.Rand) func() request) []*client {
	var list []*client
	for i := range uint64(fastClients + idleClients) {
		rng := rand.New(rand.NewPCG(seed, uint64(entry)<<32|i))
		c := f.newClient(f.clientAddrs[entry], next(rng))
		c.pause = pauses(rng, 0, refusalPause)
		if i >= fastClients {
			c.pause = pauses(rng, shortestIdle, longestIdle)
		}
		list = append(list, c)
	}
	return list
}

func (f *platformFleet) shortJobs(rng *rand.Rand) func() request { return f.jobs(rng, longestRunTime) }

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

// A request on an open connection is answered when the entry is restarted.
func TestRestartedEntryCutsNoRequest(t *testing.T) {
	const rounds = 3
	f := newPlatformFleet(t, 1, 2, 2)
	var clients []*client
	for i := range f.entries {
		clients = append(clients, f.entryClients(1, i, f.shortJobs)...)
	}
	l := startLoad(t, clients)
	var e ends
	var wg sync.WaitGroup
	for _, p := range f.entries {
		wg.Go(func() {
			for range rounds {
				time.Sleep(loadTime)
				p.signal(t, syscall.SIGTERM)
				if code := e.await(t, p); code != 0 {
					t.Errorf("%s ended with code %d", p.name, code)
				}
				p.start(t)
			}
		})
	}
	wg.Wait()
	for i := range f.entries {
		f.awaitServing(i)
	}
	list := l.end()
	f.checkJobs(list)
	requireAnswered(t, list, e.list)
	require.NotEmpty(t, list)
}
