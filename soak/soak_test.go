package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/platform/standin"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "first seed")
	seedCount     = flag.Uint64("soak.seeds", 1, "number of seeds to run")
	faultDuration = flag.Duration("soak.for", 8*time.Second, "duration of fault injection per seed")
	logFolder     = flag.String("soak.keep", "", "folder for the logs of failed seeds")
)

const (
	// concurrentJobs is the number of jobs in flight.
	concurrentJobs = 6
	// readyTimeout bounds start-up and recovery. Replacing a host takes 3 s, and
	// a paused one resumes after up to 3 s.
	readyTimeout = 25 * time.Second
	// minWipeInterval is the minimum time between two disk losses. The deployment
	// tolerates one lost disk, so the first host must be repaired in between.
	minWipeInterval = 12 * time.Second
)

// regressions lists seeds that once failed, with the cause of each failure.
var regressions = []uint64{
	102, // an entry assumed that a restarted agent, whose upstream was not known yet, had no capacity
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs the real programs")
	}
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../cmd/...")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	requireSingleRun(t)
	list := append([]uint64(nil), regressions...)
	for i := range *seedCount {
		list = append(list, *firstSeed+i)
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(t, bin, seed) })
	}
}

func runSeed(t *testing.T, bin string, seed uint64) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	ledger := standin.NewLedger()
	f := newFleet(t, dir, bin)
	defer func() { saveLogs(t, dir, seed, ledger.Violations()) }()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer f.close()
	defer cancel()
	for i := range agents {
		wg.Go(func() {
			err := standin.Run(ctx, standin.Options{
				ID: fmt.Sprintf("up-%d", i+1), Service: service, MilliCPU: 4000, MaxLease: time.Second, Ledger: ledger,
				Addr: address(netAgent, i, portUpstream), Announced: address(netToUpstream, i, portUpstream), Agent: address(netToAgent, i, portHeartbeats),
			})
			if err != nil {
				ledger.AddViolation("%v", err)
			}
		})
	}
	rng := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	op, jobs := &operator{ledger: ledger}, &callers{ledger: ledger}
	op.publish(ctx, rng(1))
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var loads sync.WaitGroup
	loads.Go(func() { op.run(loadCtx, rng(2)) })
	for i := range uint64(concurrentJobs) {
		loads.Go(func() { jobs.run(loadCtx, rng(10+i)) })
	}
	awaitWork(t, jobs)
	faultCtx, stopFaults := context.WithCancel(ctx)
	loads.Go(func() { f.injectLinkFaults(faultCtx, rng(5)) })
	(&faultInjector{f: f, bin: bin, rng: rng(3)}).run(*faultDuration)
	stopFaults()
	awaitWork(t, jobs)
	awaitRead(ctx, t, op, rng(4))
	stop()
	loads.Wait()
	jobs.check()
	t.Logf("seed %d: complete %d, refused %d, timed out %d, no answer %d; versions acknowledged up to %d",
		seed, jobs.complete.Load(), jobs.refusals.Load(), jobs.timedOut.Load(), jobs.unanswered.Load(), op.acked.Load())
	if v := ledger.Violations(); len(v) > 0 {
		t.Errorf("seed %d: violations:\n%s", seed, strings.Join(v, "\n"))
	}
}

// awaitWork waits until more than 20 further jobs complete.
func awaitWork(t *testing.T, c *callers) {
	t.Helper()
	before := c.complete.Load()
	require.Eventually(t, func() bool { return c.complete.Load() > before+20 }, readyTimeout, 20*time.Millisecond,
		"jobs complete again")
}

// awaitRead waits until the current document can be read.
func awaitRead(ctx context.Context, t *testing.T, o *operator, rng *rand.Rand) {
	t.Helper()
	require.Eventually(t, func() bool { return o.read(ctx, rng) > 0 }, readyTimeout, 50*time.Millisecond,
		"the current document can be read")
}

// requireSingleRun fails the test if another soak run uses the same addresses,
// because the callers of one run would reach the fleet of the other.
func requireSingleRun(t *testing.T) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.1.250:%d", portAdmin))
	require.NoError(t, err, "another soak run is active on this machine")
	t.Cleanup(func() { ln.Close() })
}

// saveLogs copies the logs of a failed seed, followed by the violations.
func saveLogs(t *testing.T, dir string, seed uint64, violations []string) {
	if *logFolder == "" || !t.Failed() {
		return
	}
	text, err := os.ReadFile(filepath.Join(dir, "processes.log"))
	require.NoError(t, err)
	require.NoError(t, os.MkdirAll(*logFolder, 0o755))
	text = append(text, strings.Join(violations, "\n")...)
	require.NoError(t, os.WriteFile(filepath.Join(*logFolder, fmt.Sprintf("seed-%d.log", seed)), text, 0o600))
}

// faultInjector injects process faults. Faults of different processes overlap;
// those of one process run one after another.
type faultInjector struct {
	f        *fleet
	bin      string
	rng      *rand.Rand
	lastWipe time.Time
	wg       sync.WaitGroup
}

func (c *faultInjector) run(d time.Duration) {
	locks := map[*process]*sync.Mutex{}
	for _, p := range c.f.processes {
		locks[p] = &sync.Mutex{}
	}
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		p := c.f.processes[c.rng.IntN(len(c.f.processes))]
		fault := c.drawFault(p)
		c.wg.Go(func() {
			locks[p].Lock()
			defer locks[p].Unlock()
			fault()
		})
		time.Sleep(time.Duration(100+c.rng.IntN(900)) * time.Millisecond)
	}
	c.wg.Wait()
}

// drawFault draws a fault for a process. The returned function injects it and
// ends with the process running.
func (c *faultInjector) drawFault(p *process) func() {
	downtime := time.Duration(c.rng.IntN(1500)) * time.Millisecond
	pauseTime := time.Duration(200+c.rng.IntN(2500)) * time.Millisecond
	switch n := c.rng.IntN(10); {
	case n < 4:
		return func() { p.killAndWait(); time.Sleep(downtime); c.f.start(c.bin, p) }
	case n < 7:
		return func() { p.signal(syscall.SIGSTOP); time.Sleep(pauseTime); p.signal(syscall.SIGCONT) }
	case n == 7 && p.role == "control" && time.Since(c.lastWipe) > minWipeInterval:
		c.lastWipe = time.Now()
		return func() { c.wipeDisk(p, downtime) }
	}
	return func() {
		p.signal(syscall.SIGTERM)
		if !p.awaitExit(8 * time.Second) {
			c.f.t.Errorf("%s did not end within 8 s of SIGTERM", p.name)
			p.killAndWait()
		}
		c.f.start(c.bin, p)
	}
}

// injectLinkFaults injects faults into random links until ctx ends. Faults of
// several links may overlap.
func (f *fleet) injectLinkFaults(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		wg.Go(f.relays[rng.IntN(len(f.relays))].drawFault(rng))
		sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	}
}

// wipeDisk kills a control host, deletes its data and restarts it as a joining
// host.
func (c *faultInjector) wipeDisk(p *process, downtime time.Duration) {
	p.killAndWait()
	if err := os.RemoveAll(p.data); err != nil {
		c.f.t.Errorf("delete data of %s: %v", p.name, err)
	}
	c.f.writeSettings(p, true)
	time.Sleep(downtime)
	c.f.start(c.bin, p)
}
