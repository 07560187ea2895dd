package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/upstream"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	controls = 3
	entries  = 2
	agents   = 3
	// slots is the number of tasks that each upstream runs concurrently.
	slots        = 4
	service      = "sample"
	team         = "team-a"
	domain       = "domain-a"
	site         = "site-a"
	adminTimeout = 10 * time.Second
)

// fleetConfig is the fleet configuration; versions differ in the deadline.
const fleetConfig = `[service ` + service + `]
max-tasks = 140
max-body = 65536
deadline = %s
max-deadline = 60s
key-keep = 1h

[team ` + team + `]
weight = 1
`

const defaultDeadline = "25s"

// fleetSemaphore bounds the number of fleets that run concurrently.
var fleetSemaphore = make(chan struct{}, 3)

// cluster is a fleet of separate processes.
type cluster struct {
	t         *testing.T
	dir       string
	controls  []*process
	entries   []*process
	agents    []*process
	upstreams []*process
	// controlAddrs and adminAddrs are the addresses of the control hosts,
	// callerAddrs those of the entries, announceAddrs those at which agents accept
	// announcements, and taskAddrs those of the upstreams.
	controlAddrs  []string
	adminAddrs    []string
	callerAddrs   []string
	announceAddrs []string
	taskAddrs     []string
	operator      *keys.Identity
	client        *http.Client
	processes     []*process
}

// newCluster starts a fleet and waits until every agent has slots.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := prepareCluster(t)
	for _, p := range c.processes {
		p.start(t)
	}
	c.awaitReady(agents)
	return c
}

// prepareCluster writes keys and settings without starting a process.
func prepareCluster(t *testing.T) *cluster { return prepareClusterIn(t, domain, domain, domain) }

// prepareClusterIn is like prepareCluster, with each agent in its own failure domain.
func prepareClusterIn(t *testing.T, agentDomains ...string) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	dir, err := os.MkdirTemp("", "fireflytray-e2e-")
	require.NoError(t, err)
	c := &cluster{t: t, dir: dir, client: &http.Client{Timeout: processTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(c.close)
	require.NoError(t, keys.Init(c.path("authority")))
	c.operator = c.loadIdentity(wire.RoleOperator, "operator")
	for range controls {
		c.controlAddrs = append(c.controlAddrs, freeAddr(t))
	}
	for i := range controls {
		c.addControl(i)
	}
	for i := range agents {
		c.addAgent(i, agentDomains[i])
		c.addUpstream(i)
	}
	for i := range entries {
		c.addEntry(i)
	}
	return c
}

// close kills every process and removes the folder, unless the test failed.
func (c *cluster) close() {
	for _, p := range c.processes {
		p.kill()
	}
	if c.t.Failed() {
		c.t.Logf("settings, logs and journals are in %s", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}

func (c *cluster) path(parts ...string) string {
	return filepath.Join(append([]string{c.dir}, parts...)...)
}

// issueKeys issues keys and returns their folder.
func (c *cluster) issueKeys(role wire.Role, id string) string {
	return c.issueKeysIn(domain, role, id)
}

func (c *cluster) issueKeysIn(domain string, role wire.Role, id string) string {
	dir := c.path("keys", id)
	name := keys.Name{Role: role, ID: id, Domain: domain}
	require.NoError(c.t, keys.Issue(c.path("authority"), name, keys.DefaultValidity, dir))
	return dir
}

func (c *cluster) loadIdentity(role wire.Role, id string) *keys.Identity {
	identity, err := keys.Load(c.issueKeys(role, id))
	require.NoError(c.t, err)
	return identity
}

// daemonSettings returns the settings that all daemons have in common.
func daemonSettings(id string) string { return daemonSettingsIn(domain, id) }

func daemonSettingsIn(domain, id string) string {
	return fmt.Sprintf("[process]\nid = %s\ndomain = %s\nsite = %s\ndrain-timeout = 20s\n[keys]\nfolder = keys/%s\n", id, domain, site, id)
}

// addProcess writes a settings file and returns the process that uses it.
func (c *cluster) addProcess(name, text string, program ...string) *process {
	path := c.path(name + ".ini")
	require.NoError(c.t, os.WriteFile(path, []byte(text), fileMode))
	args := append([]string{binaryPath(program[0])}, program[1:]...)
	p := &process{name: name, args: append(args, "--config", path), logPath: c.path(name + ".log")}
	c.processes = append(c.processes, p)
	return p
}

func (c *cluster) addControl(i int) {
	id, admin := fmt.Sprintf("control-%d", i+1), freeAddr(c.t)
	c.issueKeys(wire.RoleControl, id)
	text := daemonSettings(id) + fmt.Sprintf("[listen]\npeers = %s\nadmin = %s\n[data]\nfolder = data/%s\n[cluster]\ninitial = %s\n",
		c.controlAddrs[i], admin, id, strings.Join(c.controlAddrs, ", "))
	c.adminAddrs = append(c.adminAddrs, admin)
	c.controls = append(c.controls, c.addProcess(id, text, "fireflytray-control"))
}

func (c *cluster) addEntry(i int) {
	id, callers := fmt.Sprintf("entry-%d", i+1), freeAddr(c.t)
	c.issueKeys(wire.RoleEntry, id)
	text := daemonSettings(id) + fmt.Sprintf("[listen]\ncallers = %s\n[control]\naddresses = %s\n[limits]\nmax-body = 256KiB\n",
		callers, strings.Join(c.controlAddrs, ", "))
	c.callerAddrs = append(c.callerAddrs, callers)
	c.entries = append(c.entries, c.addProcess(id, text, "fireflytray-entry"))
}

func (c *cluster) addAgent(i int, domain string) {
	id, announce := agentID(i), freeAddr(c.t)
	c.issueKeysIn(domain, wire.RoleAgent, id)
	text := daemonSettingsIn(domain, id) + fmt.Sprintf("[listen]\npeers = %s\nupstream = %s\n[control]\naddresses = %s\n[worker]\nrack = rack-%d\nprocessors = 8\nmemory-mb = 16000\n",
		freeAddr(c.t), announce, strings.Join(c.controlAddrs, ", "), i+1)
	c.announceAddrs = append(c.announceAddrs, announce)
	c.agents = append(c.agents, c.addProcess(id, text, "fireflytray-agent"))
}

func agentID(i int) string { return fmt.Sprintf("agent-%d", i+1) }

func (c *cluster) addUpstream(i int) {
	id, tasks := fmt.Sprintf("upstream-%d", i+1), freeAddr(c.t)
	text := fmt.Sprintf("[process]\nid = %s\n[listen]\ntasks = %s\n[agent]\naddress = %s\n[service]\nname = %s\nslots = %d\n[behaviour]\njournal = %s.journal\n",
		id, tasks, c.announceAddrs[i], service, slots, id)
	c.taskAddrs = append(c.taskAddrs, tasks)
	c.upstreams = append(c.upstreams, c.addProcess(id, text, "fireflytray", "upstream"))
}

// awaitReady applies the first configuration and waits until each entry is ready
// and sees the given number of agents with slots.
func (c *cluster) awaitReady(agents int) {
	c.t.Helper()
	poll(c.t, "apply the first configuration", func() string {
		reply, err := c.apply("first", 0, defaultDeadline)
		if err != nil {
			return err.Error()
		}
		if !reply.Accepted {
			return reply.Detail
		}
		return ""
	})
	for i := range c.entries {
		c.awaitSlots(i, agents)
	}
}

// awaitSlots waits until entry i is ready and sees the given number of agents
// with slots.
func (c *cluster) awaitSlots(i, agents int) {
	c.t.Helper()
	poll(c.t, c.entries[i].name+" is ready", func() string {
		s, err := c.status(i)
		if err != nil {
			return err.Error()
		}
		n := 0
		for _, a := range s.Agents {
			if a.Slots > 0 {
				n++
			}
		}
		if !s.Ready || n < agents {
			return fmt.Sprintf("ready %v (%s), %d of %d agents with slots", s.Ready, s.NotReadyReason, n, agents)
		}
		return ""
	})
}

// adminClient returns a client that tries the given control hosts in order, or
// all of them if none is given.
func (c *cluster) adminClient(hosts ...int) *adminapi.Client {
	addrs := c.adminAddrs
	if len(hosts) > 0 {
		addrs = nil
		for _, i := range hosts {
			addrs = append(addrs, c.adminAddrs[i])
		}
	}
	return adminapi.NewClient(c.operator, addrs)
}

// apply submits a configuration with a deadline as the successor of version
// base.
func (c *cluster) apply(op string, base uint64, deadline string) (adminapi.ChangeReply, error) {
	return c.applyWith(c.adminClient(), op, base, deadline)
}

// applyAt is like apply but uses one control host.
func (c *cluster) applyAt(host int, op string, base uint64, deadline string) (adminapi.ChangeReply, error) {
	return c.applyWith(c.adminClient(host), op, base, deadline)
}

func (c *cluster) applyWith(client *adminapi.Client, op string, base uint64, deadline string) (adminapi.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	var reply adminapi.ChangeReply
	err := client.Post(ctx, adminapi.PathApply, adminapi.ApplyRequest{
		Op:      op,
		Base:    base,
		Sources: []adminapi.Source{{File: "base.ini", Text: fmt.Sprintf(fleetConfig, deadline)}},
	}, &reply)
	return reply, err
}

// status reads an entry's status page.
func (c *cluster) status(i int) (httpapi.Status, error) {
	var s httpapi.Status
	resp, err := c.client.Get("http://" + c.callerAddrs[i] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// setFault sets the fault mode of an upstream.
func (c *cluster) setFault(i int, mode string) {
	c.t.Helper()
	resp, err := c.client.Post("http://"+c.taskAddrs[i]+upstream.PathFault, "application/json",
		strings.NewReader(fmt.Sprintf(`{"mode":%q}`, mode)))
	require.NoError(c.t, err)
	defer resp.Body.Close()
	require.Equal(c.t, http.StatusOK, resp.StatusCode)
}
