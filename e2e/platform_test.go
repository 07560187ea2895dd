package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/platform/standin"
)

// The route of the platform's clients.
const (
	routeHost    = "e2e.example"
	routePrefix  = "/jobs/"
	routeTimeout = 1500 * time.Millisecond
)

// platformFleet is a fleet of separate processes with the platform's interfaces
// and stand-ins for the platform's upstreams.
type platformFleet struct {
	t                         *testing.T
	dir                       string
	controls, entries, agents []*process
	processes                 []*process
	controlAddrs              []string
	operatorAddrs             []string
	clientAddrs               []string
	readyAddrs                []string
	callerAddrs               []string
	heartbeatAddrs            []string
	upstreamAddrs             []string
	ledger                    *standin.Ledger
}

// newPlatformFleet starts a fleet and waits until each entry completes a job.
func newPlatformFleet(t *testing.T, controls, entries, agents int) *platformFleet {
	t.Helper()
	f := preparePlatformFleet(t, controls, entries, agents)
	for _, p := range f.processes {
		p.start(t)
	}
	f.publish(1)
	for i := range f.entries {
		f.awaitServing(i)
	}
	return f
}

// preparePlatformFleet writes the settings and starts the upstreams.
func preparePlatformFleet(t *testing.T, controls, entries, agents int) *platformFleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	dir, err := os.MkdirTemp("", "fireflytray-e2e-")
	require.NoError(t, err)
	f := &platformFleet{t: t, dir: dir, ledger: standin.NewLedger()}
	t.Cleanup(f.close)
	for range controls {
		f.controlAddrs = append(f.controlAddrs, freeAddr(t))
	}
	for i := range controls {
		f.addControl(i)
	}
	for i := range agents {
		f.addAgent(i)
	}
	for i := range entries {
		f.addEntry(i)
	}
	f.runUpstreams()
	return f
}

func (f *platformFleet) close() {
	for _, p := range f.processes {
		p.kill()
	}
	if f.t.Failed() {
		f.t.Logf("settings and logs are in %s", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}

// add writes the settings of a process, which are those of folder deploy apart
// from the addresses.
func (f *platformFleet) add(program, id, text string) *process {
	path := filepath.Join(f.dir, id+".ini")
	text = fmt.Sprintf("[process]\nid = %s\ndomain = %s\nsite = %s\ndrain-timeout = 5s\nsilence = 500ms\n[keys]\nself-signed = true\n", id, domain, site) + text
	require.NoError(f.t, os.WriteFile(path, []byte(text), fileMode))
	p := &process{name: id, args: []string{binaryPath(program), "--config", path}, logPath: filepath.Join(f.dir, id+".log")}
	f.processes = append(f.processes, p)
	return p
}

func (f *platformFleet) addControl(i int) {
	id, operators := fmt.Sprintf("control-%d", i+1), freeAddr(f.t)
	f.operatorAddrs = append(f.operatorAddrs, operators)
	f.controls = append(f.controls, f.add("fireflytray-control", id, fmt.Sprintf(
		"[listen]\npeers = %s\nadmin = %s\n[data]\nfolder = %s\n[cluster]\ninitial = %s\nelection-timeout = 300ms\n[platform]\noperators = %s\n",
		f.controlAddrs[i], freeAddr(f.t), filepath.Join(f.dir, id), strings.Join(f.controlAddrs, ", "), operators)))
}

func (f *platformFleet) addEntry(i int) {
	clients, ready, callers := freeAddr(f.t), freeAddr(f.t), freeAddr(f.t)
	f.clientAddrs, f.readyAddrs, f.callerAddrs = append(f.clientAddrs, clients), append(f.readyAddrs, ready), append(f.callerAddrs, callers)
	f.entries = append(f.entries, f.add("fireflytray-entry", fmt.Sprintf("entry-%d", i+1), fmt.Sprintf(
		"[listen]\ncallers = %s\n[control]\naddresses = %s\n[placement]\norder = urgent\n[agents]\npoke = 16\npulse = 250ms\ngone-after = 1s\ndials = 16\n[platform]\nclients = %s\nreadiness = %s\nhold-unconfigured = 1s\n",
		callers, strings.Join(f.controlAddrs, ", "), clients, ready)))
}

func (f *platformFleet) addAgent(i int) {
	heartbeats := freeAddr(f.t)
	f.heartbeatAddrs, f.upstreamAddrs = append(f.heartbeatAddrs, heartbeats), append(f.upstreamAddrs, freeAddr(f.t))
	f.agents = append(f.agents, f.add("fireflytray-agent", agentID(i), fmt.Sprintf(
		"[listen]\npeers = %s\nupstream = 127.0.0.1:1\n[control]\naddresses = %s\n[worker]\nrack = r\nprocessors = 1\nmemory-mb = 1\n[entries]\norphan-after = 800ms\n[platform]\nheartbeats = %s\n",
		freeAddr(f.t), strings.Join(f.controlAddrs, ", "), heartbeats)))
}

// upstreamMilliCPU is the capacity of each upstream in thousandths of a core.
const upstreamMilliCPU = 16_000

func upstreamID(i int) string { return fmt.Sprintf("up-%d", i+1) }

func (f *platformFleet) runUpstreams() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range f.agents {
		wg.Go(func() {
			err := standin.Run(ctx, standin.Options{
				ID: upstreamID(i), Service: service, MilliCPU: upstreamMilliCPU, MaxLease: time.Second, Ledger: f.ledger,
				Addr: f.upstreamAddrs[i], Agent: f.heartbeatAddrs[i],
			})
			assert.NoError(f.t, err)
		})
	}
	f.t.Cleanup(func() { cancel(); wg.Wait() })
}

// document returns a valid configuration document.
func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":%d,"targetLatencyMs":60,"priority":0,"service":%q,"maxAttempts":3,"latencyFactor":3}],"services":[{"name":%q}]}`,
		version, routeHost, routePrefix, routeTimeout.Milliseconds(), service, service)
}

// publish puts a document into force.
func (f *platformFleet) publish(version int) {
	f.t.Helper()
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	poll(f.t, "a document is published", func() string {
		req, err := http.NewRequest(http.MethodPut, "http://"+f.operatorAddrs[0]+"/config", strings.NewReader(document(version)))
		require.NoError(f.t, err)
		resp, err := client.Do(req)
		if err != nil {
			return err.Error()
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return resp.Status
		}
		return ""
	})
}

// awaitServing waits until an entry completes a job.
func (f *platformFleet) awaitServing(i int) {
	f.t.Helper()
	rng := rand.New(rand.NewPCG(uint64(i), uint64(time.Now().UnixNano())))
	poll(f.t, f.entries[i].name+" serves", func() string {
		c := f.newClient(f.clientAddrs[i], f.jobs(rng, time.Millisecond))
		defer c.disconnect()
		x, ok := c.exchange(context.Background())
		if !ok {
			return "not listening"
		}
		if x.status != http.StatusOK {
			return x.String()
		}
		return ""
	})
}

// watchReadiness checks the readiness of an entry until the test ends, as the
// platform's load balancer does.
func (f *platformFleet) watchReadiness(i int) func() bool {
	var ready atomic.Bool
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			resp, err := client.Get("http://" + f.readyAddrs[i] + "/readiness")
			if err == nil {
				resp.Body.Close()
			}
			ready.Store(err == nil && resp.StatusCode == http.StatusOK)
			select {
			case <-ended:
				return
			case <-time.After(readinessInterval):
			}
		}
	}()
	f.t.Cleanup(func() { close(ended); <-stopped })
	return ready.Load
}

// readinessInterval is the time between two checks of readiness.
const readinessInterval = 50 * time.Millisecond

// jobs returns a function that creates requests with jobs of one task.
func (f *platformFleet) jobs(rng *rand.Rand, longest time.Duration) func() request {
	return func() request {
		id := fmt.Sprintf("%016x", rng.Uint64())
		runTime := time.Duration(1+rng.Int64N(int64(longest))) / time.Millisecond * time.Millisecond
		body := fmt.Sprintf(`{"jobSpec":%q,"bestEffort":true,"steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":%d}]}`,
			standin.Payload(runTime, 100), runTime.Milliseconds())
		f.ledger.Submitted(id)
		return request{id: id, text: requestText(http.MethodPost, routePrefix+id, body, "X-Fireflytray-Deadline-Ms: 1500")}
	}
}

// checkJobs compares answers to jobs with the recorded runs.
func (f *platformFleet) checkJobs(list []exchange) {
	f.t.Helper()
	for _, x := range list {
		if x.ending != answered {
			continue
		}
		switch x.status {
		case http.StatusOK:
			if strings.Contains(x.body, "completed") {
				assert.Positive(f.t, f.ledger.Started(x.id), "starts of %v", x)
			}
		case http.StatusServiceUnavailable:
			assert.NotEmpty(f.t, x.header.Get("Retry-After"), "%v", x)
			assert.Zero(f.t, f.ledger.Started(x.id), "starts of %v", x)
		case http.StatusGatewayTimeout:
		default:
			assert.Fail(f.t, "unexpected answer", "%v", x)
		}
	}
	assert.Empty(f.t, f.ledger.Violations())
}
