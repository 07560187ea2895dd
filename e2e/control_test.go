package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/task"
)

// controlOutage is how long all control hosts are down. It exceeds the time that
// an entry waits for a claim.
const controlOutage = 8 * time.Second

// The leading control host is killed during a series of changes. Every accepted
// change is in the audit trail and in the history, the last one takes effect at
// every entry, and no entry ever reverts to an older version.
func TestKilledLeaderDuringChanges(t *testing.T) {
	const (
		changes   = 24
		killAfter = 8
	)
	c := newCluster(t)
	stop := c.watchIndices()
	leader := c.leader()
	base := c.version().Index
	var accepted []change
	for i := range changes {
		if i == killAfter {
			go c.controls[leader].kill()
		}
		x := c.change(fmt.Sprintf("change-%d", i), base, fmt.Sprintf("%ds", 20+i))
		accepted = append(accepted, x)
		base = x.index
	}
	for i := range c.entries {
		c.awaitIndex(i, base)
	}
	c.checkAudit(accepted)
	c.requireSameReplies(accepted)
	require.Equal(t, base, c.version().Index)
	<-c.controls[leader].ended
	c.controls[leader].start(t)
	c.awaitVoters()
	time.Sleep(settleTime)
	stop()
	require.Equal(t, base, c.version().Index)
	answers := []answer{c.job(0, 8, 50), c.job(1, 8, 50)}
	c.requireAllComplete(answers)
	c.checkStarts(answers)
}

// A leading control host without a quorum accepts no change. After it is killed,
// the other hosts accept the same change exactly once.
func TestLeaderAloneAcceptsNothing(t *testing.T) {
	c := newCluster(t)
	stop := c.watchIndices()
	base := c.version().Index
	leader := c.leader()
	for i, p := range c.controls {
		if i != leader {
			p.pause(t)
		}
	}
	reply, err := c.applyAt(leader, "alone", base, "21s")
	require.Error(t, err, "%+v", reply)
	c.controls[leader].kill()
	for i, p := range c.controls {
		if i != leader {
			p.signal(t, syscall.SIGCONT)
		}
	}
	accepted := c.change("alone", base, "21s")
	for i := range c.entries {
		c.awaitIndex(i, accepted.index)
	}
	c.checkAudit([]change{accepted})
	c.controls[leader].start(t)
	c.awaitVoters()
	time.Sleep(settleTime)
	stop()
	require.Equal(t, accepted.index, c.version().Index)
}

// While all control hosts are down, requests without a key run and those with
// a key are refused as not run. After the hosts restart, the fleet recovers
// without intervention.
func TestAllControlHostsKilled(t *testing.T) {
	c := newCluster(t)
	before := c.version()
	token := newToken()
	inFlight := inBackground(1, func(int) answer { return c.requestWithToken(0, token, longRunMS, "statement-1") })
	poll(t, "the keyed request starts", func() string {
		if len(c.startCounts()) == 0 {
			return "no start"
		}
		return ""
	})
	for _, p := range c.controls {
		p.kill()
	}
	restartTime := time.After(controlOutage)
	unkeyed := inBackground(20, func(i int) answer { return c.request(i%entries, 100, "") })
	keyed := inBackground(6, func(i int) answer { return c.request(i%entries, 100, fmt.Sprintf("key-%d", i)) })
	answers := append(unkeyed(), c.job(0, 10, 50))
	c.requireAllComplete(answers)
	for _, a := range keyed() {
		c.requireTemporaryRefusal(a)
		answers = append(answers, a)
	}
	first := inFlight()[0]
	require.Equal(t, complete, first.state, first.String())
	<-restartTime
	for _, p := range c.controls {
		p.start(t)
	}
	poll(t, "keyed requests run again", func() string {
		a := c.request(1, 50, "key-after")
		answers = append(answers, a)
		if a.state == complete {
			return ""
		}
		return a.String()
	})
	c.awaitAnnounced()
	require.Equal(t, before.Index, c.version().Index)
	again := c.awaitReplay(1, token, longRunMS, "statement-1")
	last := []answer{first, again, c.job(0, 12, 50), c.job(1, 12, 50)}
	c.requireAllComplete(last)
	c.checkStarts(append(answers, last...))
}

// awaitReplay resends a keyed request until it gets the outcome of the first
// run. Until that is recorded, the entry answers that the key is in use.
func (c *cluster) awaitReplay(entry int, token string, runMS int, key string) answer {
	c.t.Helper()
	var a answer
	poll(c.t, "the outcome of "+key, func() string {
		a = c.requestWithToken(entry, token, runMS, key)
		if a.replayed {
			return ""
		}
		require.NotEqual(c.t, complete, a.state, "request ran a second time: %v", a)
		return a.String()
	})
	return a
}

// requireTemporaryRefusal requires that a request was refused as not run, with a
// Retry-After header.
func (c *cluster) requireTemporaryRefusal(a answer) {
	c.t.Helper()
	require.NoError(c.t, a.err)
	require.Equal(c.t, http.StatusServiceUnavailable, a.status, a.String())
	require.Equal(c.t, notRun, a.state, a.String())
	require.Equal(c.t, task.ReasonClaimsUnavailable, a.problem.Reason, a.String())
	after, err := strconv.Atoi(a.header.Get("Retry-After"))
	require.NoError(c.t, err, "Retry-After of %v", a)
	require.Positive(c.t, after)
}

// change is an accepted change of the configuration.
type change struct {
	op       string
	base     uint64
	deadline string
	index    uint64
}

// change applies a configuration, resends it until a control host replies, and
// requires that it is accepted.
func (c *cluster) change(op string, base uint64, deadline string) change {
	c.t.Helper()
	var reply adminapi.ChangeReply
	poll(c.t, "apply "+op, func() string {
		var err error
		if reply, err = c.apply(op, base, deadline); err != nil {
			return err.Error()
		}
		return ""
	})
	require.True(c.t, reply.Accepted, "%s: %+v", op, reply)
	require.Greater(c.t, reply.Index, base)
	return change{op: op, base: base, deadline: deadline, index: reply.Index}
}

// requireSameReplies resends accepted changes and requires the original reply to
// each.
func (c *cluster) requireSameReplies(accepted []change) {
	c.t.Helper()
	for _, x := range accepted {
		reply, err := c.apply(x.op, x.base, x.deadline)
		require.NoError(c.t, err)
		require.True(c.t, reply.Accepted && reply.Resent, "%s: %+v", x.op, reply)
		require.Equal(c.t, x.index, reply.Index, x.op)
	}
}

// adminGet reads an admin resource from the first control host that has a fresh
// quorum, or from one without if none has.
func (c *cluster) adminGet(path, query string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	return c.adminClient().Get(ctx, path, query, out)
}

// version returns the current version, as read from a host with fresh state.
func (c *cluster) version() adminapi.Version {
	c.t.Helper()
	var s adminapi.ConfigStatus
	poll(c.t, "a fresh control host", func() string {
		if err := c.adminGet(adminapi.PathStatus, "", &s); err != nil {
			return err.Error()
		}
		if !s.Fresh {
			return "not fresh"
		}
		return ""
	})
	return s.Version
}

// leader returns the index of the leading control host.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	poll(c.t, "a leader", func() string {
		for i := range c.controls {
			if r, err := c.controlStatus(i); err == nil && r.Leader == r.Replica {
				found = i
				return ""
			}
		}
		return "none"
	})
	return found
}

func (c *cluster) controlStatus(i int) (adminapi.ControlReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	var r adminapi.ControlReply
	return r, c.adminClient(i).Get(ctx, adminapi.PathControl, "", &r)
}

// awaitVoters waits until the leader reports every control host as a live voter
// that has replicated the log up to the commit index.
func (c *cluster) awaitVoters() {
	c.t.Helper()
	poll(c.t, "all control hosts are live voters", func() string {
		r, err := c.controlStatus(c.leader())
		if err != nil {
			return err.Error()
		}
		n := 0
		for _, m := range r.Members {
			if m.Voter && m.Live && m.Match >= r.Commit {
				n++
			}
		}
		if n < controls {
			return fmt.Sprintf("%d of %d: %+v", n, controls, r)
		}
		return ""
	})
}

// awaitAnnounced waits until all entries and all agents, these with slots, are
// in the fleet list.
func (c *cluster) awaitAnnounced() {
	c.t.Helper()
	poll(c.t, "all processes are announced", func() string {
		var f adminapi.FleetReply
		if err := c.adminGet(adminapi.PathFleet, "", &f); err != nil {
			return err.Error()
		}
		withSlots, entryCount := 0, 0
		for _, p := range f.Processes {
			if p.Slots > 0 {
				withSlots++
			}
			if p.Role == "entry" {
				entryCount++
			}
		}
		if withSlots < agents || entryCount < entries {
			return fmt.Sprintf("%d agents with slots, %d entries", withSlots, entryCount)
		}
		return ""
	})
}

func (c *cluster) awaitIndex(i int, index uint64) {
	c.t.Helper()
	poll(c.t, c.entries[i].name+" has the current version", func() string {
		s, err := c.status(i)
		if err != nil {
			return err.Error()
		}
		if s.ConfigIndex != index {
			return fmt.Sprintf("%d, want %d", s.ConfigIndex, index)
		}
		return ""
	})
}

// watchIndices polls every entry's version until stop is called and fails the
// test if one decreases.
func (c *cluster) watchIndices() (stop func()) {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for i := range c.entries {
		watchers.Go(func() {
			var highest uint64
			for {
				select {
				case <-done:
					return
				case <-time.After(pollInterval):
				}
				s, err := c.status(i)
				if err != nil {
					continue
				}
				assert.GreaterOrEqual(c.t, s.ConfigIndex, highest, "version at entry %d", i+1)
				highest = max(highest, s.ConfigIndex)
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
	}
}

// checkAudit requires that each accepted change is in the audit trail exactly
// once and in the history under the version that the operator received.
func (c *cluster) checkAudit(accepted []change) {
	c.t.Helper()
	var audit adminapi.AuditReply
	require.NoError(c.t, c.adminGet(adminapi.PathAudit, "", &audit))
	require.True(c.t, audit.Fresh)
	require.True(c.t, audit.Verified, audit.Problem)
	audited := map[string]int{}
	for _, e := range audit.Entries {
		if e.Accepted {
			audited[e.Op]++
		}
	}
	var history adminapi.HistoryReply
	require.NoError(c.t, c.adminGet(adminapi.PathHistory, "", &history))
	versions := map[string]uint64{}
	for _, v := range history.Versions {
		versions[v.Op] = v.Index
	}
	for _, x := range accepted {
		require.Equal(c.t, 1, audited[x.op], "audit entries of %s", x.op)
		require.Equal(c.t, x.index, versions[x.op], "version of %s", x.op)
	}
}
