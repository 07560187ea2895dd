package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// controlSettle is the time between two losses of control hosts: one that is gone is
	// removed from the log once it has been silent for 3 s, and its successor then votes.
	controlSettle = 5 * time.Second
	// controlFaults is the number of faults of control hosts in a run besides the
	// replacement of each one that the settings name.
	controlFaults = 1
	// controlOverlap is how long a host that is replaced as planned runs beside its
	// successor.
	controlOverlap = 2 * time.Second
	// controlRestartPause is the pause between the restarts of two control hosts.
	controlRestartPause = 2 * time.Second
	// listInterval is the time between two looks at the list of a control host.
	listInterval = 100 * time.Millisecond
)

// TestSoakControlHostsReplaced guards against processes that know the control hosts of
// their settings alone: control hosts are replaced, lost and restarted in any order,
// agents and entries are restarted after, and those that are not have to be known to
// whoever starts then.
func TestSoakControlHostsReplaced(t *testing.T) {
	runSeeds(t, mode{
		name: "controls", drain: resendDrain, inject: replaceControls, load: resend, upstream: faultlessUpstream,
	})
}

// hostNumbers holds the numbers of the control hosts that are not gone for good.
type hostNumbers struct {
	mu   sync.Mutex
	list []int
}

func newHostNumbers(count int) *hostNumbers {
	h := &hostNumbers{}
	for i := range count {
		h.list = append(h.list, i)
	}
	return h
}

func (h *hostNumbers) all() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.list)
}

func (h *hostNumbers) draw(rng *rand.Rand) int {
	list := h.all()
	return list[rng.IntN(len(list))]
}

func (h *hostNumbers) replace(old, next int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list[slices.Index(h.list, old)] = next
}

// controlTurnover replaces, loses and restarts control hosts, one at a time.
type controlTurnover struct {
	f   *fleet
	bin string
	rng *rand.Rand
	// running holds the control hosts by number, next is the number of the next one.
	running map[int]*process
	next    int
}

// replaceControls replaces each control host of the settings, among other faults of
// control hosts, and then restarts all that are left, so that nothing remains of what
// control hosts had heard before.
func replaceControls(ctx context.Context, f *fleet, bin string, seed uint64, _ time.Duration) {
	c := &controlTurnover{f: f, bin: bin, rng: newRand(seed, 11), running: map[int]*process{}, next: f.controls}
	var rounds []func()
	for i, p := range f.byRole("control") {
		c.running[i] = p
		rounds = append(rounds, func() { c.replace(i) })
	}
	for range controlFaults {
		rounds = append(rounds, c.restartAny)
	}
	c.rng.Shuffle(len(rounds), func(i, j int) { rounds[i], rounds[j] = rounds[j], rounds[i] })
	for _, round := range rounds {
		round()
		c.restartSome()
		sleep(ctx, controlSettle)
	}
	for _, i := range f.hosts.all() {
		c.restart(c.running[i])
		sleep(ctx, controlRestartPause)
	}
	for _, p := range f.byRole("entry") {
		c.reload(p)
	}
	c.awaitLists(ctx)
}

// awaitLists waits until each control host lists the processes that run, and no other.
func (c *controlTurnover) awaitLists(ctx context.Context) {
	id, err := keys.SelfSigned(wire.RoleOperator, "operator", "soak")
	require.NoError(c.f.t, err)
	want := append(c.f.byRole("agent"), c.f.byRole("entry")...)
	for _, p := range c.running {
		want = append(want, p)
	}
	var names []string
	for _, p := range want {
		names = append(names, p.id)
	}
	slices.Sort(names)
	for _, i := range c.f.hosts.all() {
		admin := adminapi.NewClient(id, []string{c.f.address(netControl, i, portAdmin)})
		listed := listedBy(ctx, admin)
		for end := time.Now().Add(readyTimeout); !slices.Equal(names, listed) && time.Now().Before(end); listed = listedBy(ctx, admin) {
			sleep(ctx, listInterval)
		}
		if !slices.Equal(names, listed) {
			c.f.ledger.AddViolation("%s lists %v, running are %v", c.running[i].name, listed, names)
		}
	}
}

// listedBy returns the sorted ids of the processes that a control host lists; none if it
// does not answer.
func listedBy(ctx context.Context, admin *adminapi.Client) []string {
	var fleet adminapi.FleetReply
	if err := admin.Get(ctx, adminapi.PathFleet, "", &fleet); err != nil {
		return nil // the caller asks again
	}
	var out []string
	for _, p := range fleet.Processes {
		out = append(out, p.ID)
	}
	slices.Sort(out)
	return out
}

// replace starts an empty control host in the place of number i: before that one ends
// as planned, or after it was lost.
func (c *controlTurnover) replace(i int) {
	p := c.f.newProcess("control", c.next, netControl)
	old, planned := c.running[i], c.rng.IntN(2) == 0
	c.f.note("%s takes the place of %s, planned %t", p.name, old.name, planned)
	if !planned {
		c.f.killAndWait(old)
	}
	c.f.writeSettings(p, true)
	c.f.start(c.bin, p)
	c.f.added = append(c.f.added, p)
	if planned {
		time.Sleep(controlOverlap)
		c.f.stop(old, func() {})
	}
	delete(c.running, i)
	c.running[c.next] = p
	c.f.hosts.replace(i, c.next)
	c.next++
}

// restartAny restarts any control host, sometimes without its disk.
func (c *controlTurnover) restartAny() {
	list := c.f.hosts.all()
	p := c.running[list[c.rng.IntN(len(list))]]
	if c.rng.IntN(2) == 0 {
		c.restart(p)
		return
	}
	c.f.note("%s loses its disk", p.name)
	c.f.killAndWait(p)
	if err := os.RemoveAll(p.data); err != nil {
		c.f.t.Errorf("delete data of %s: %v", p.name, err)
	}
	c.f.writeSettings(p, true)
	c.f.start(c.bin, p)
}

func (c *controlTurnover) restart(p *process) {
	if c.rng.IntN(2) == 0 {
		c.f.killAndWait(p)
	} else {
		c.f.stop(p, func() {})
	}
	c.f.start(c.bin, p)
}

// restartSome restarts some entries, and agents but the first, which must never need
// it, under settings that name the present control hosts.
func (c *controlTurnover) restartSome() {
	for _, p := range append(c.f.byRole("entry"), c.f.byRole("agent")[1:]...) {
		switch c.rng.IntN(4) {
		case 0:
			c.reload(p)
		case 1:
			c.f.writeSettings(p, false)
			if p.uptime() > minHangupUptime {
				c.f.signal(p, syscall.SIGHUP)
			}
		}
	}
}

// reload restarts a process under settings that name the present control hosts.
func (c *controlTurnover) reload(p *process) {
	c.f.writeSettings(p, false)
	c.restart(p)
}
