package crowd

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/platform/standin"
)

// The addresses of the processes. Each has an IP address of its own, by which its
// sockets are found.
const (
	addrControl  = "127.41.1.1"
	addrEntry    = "127.41.2.1"
	addrAgent    = "127.41.3.1"
	addrUpstream = "127.41.4.1"

	portPeers      = 17820
	portOperators  = 17822
	portClients    = 17823
	portReady      = 17824
	portAdmin      = 17825
	portCallers    = 17826
	portHeartbeats = 17827
	portUpstream   = 17828
)

const (
	host    = "crowd.example"
	prefix  = "/jobs/"
	service = "crowd"

	// The limits of the published manifest.
	maxHeaderBytes = 16_384
	maxBodyBytes   = 262_144

	// buildTimeout bounds the build of the programs, waitTimeout each wait for a
	// condition, and stopTimeout the end of a process after SIGTERM.
	buildTimeout = 3 * time.Minute
	waitTimeout  = 30 * time.Second
	stopTimeout  = 15 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// maxLoggedOutput bounds the output of a process in the log of a failed test, in bytes.
	maxLoggedOutput = 4000
	// hostDescriptors is the number of descriptors of a host, of which filesReserve are
	// for files outside its disk folder.
	hostDescriptors = 4_100
	filesReserve    = 200
)

// The memory of the hosts, in bytes.
const (
	entryMemory   = 284_000_000
	controlMemory = 284_000_000
	agentMemory   = 152_000_000
)

// environment is that of the deploy file.
var environment = []string{"GOMAXPROCS=1", "GOGC=200"}

var programs = flag.String("crowd.programs", "", "folder of programs that are built already, as those of an earlier commit; empty builds them")

// buildOnce builds the programs for all tests.
var buildOnce = sync.OnceValues(func() (string, error) {
	if *programs != "" {
		return *programs, nil
	}
	bin, err := os.MkdirTemp("", "crowd-programs")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", bin, "../cmd/...").CombinedOutput(); err != nil {
		return bin, fmt.Errorf("build the programs: %w: %s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, _ := buildOnce(); *programs == "" {
		if err := os.RemoveAll(bin); err != nil {
			fmt.Fprintln(os.Stderr, "remove the programs:", err)
		}
	}
	os.Exit(code)
}

// process is one of the programs under test.
type process struct {
	name string
	// addr is the IP address of its listeners, memory that of its host in bytes.
	addr   string
	memory int64
	cmd    *exec.Cmd
	output bytes.Buffer
	ended  chan struct{}
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// fleet is a control host, an entry and an agent with a stand-in upstream.
type fleet struct {
	t                     *testing.T
	control, entry, agent *process
	ledger                *standin.Ledger
	meters                []*meter
}

// address returns a host:port.
func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// options change the settings of a fleet.
type options struct {
	// limits are further lines of the [limits] section of the entry.
	limits string
}

// startFleet starts the processes, publishes a manifest and waits for the answer to an
// ordinary request. The processes end with the test.
func startFleet(t *testing.T, o options) *fleet {
	bin, err := buildOnce()
	require.NoError(t, err)
	f := &fleet{t: t, ledger: standin.NewLedger()}
	dir := t.TempDir()
	common := "[process]\nid = %s\ndomain = zone-1\nsite = crowd\nsilence = 500ms\ndrain-timeout = 5s\n[keys]\nself-signed = true\n"
	peers := address(addrControl, portPeers)
	f.control = f.start(bin, dir, "control", addrControl, controlMemory, fmt.Sprintf(
		common+"[listen]\nadmin = %s:%d\npeers = %s\n[data]\nfolder = %s\n[cluster]\ninitial = %s\nelection-timeout = 300ms\n[platform]\noperators = %s:%d\n",
		"control", addrControl, portAdmin, peers, filepath.Join(dir, "data"), peers, addrControl, portOperators))
	f.agent = f.start(bin, dir, "agent", addrAgent, agentMemory, fmt.Sprintf(
		common+"[listen]\npeers = %s:%d\nupstream = 127.0.0.1:1\n[control]\naddresses = %s\n[worker]\nrack = r\nprocessors = 1\nmemory-mb = 1\n[credit]\npolicy = rank\nqueue-share = 0.05\n[entries]\norphan-after = 800ms\n[platform]\nheartbeats = %s:%d\nlease = 1000ms\n",
		"agent", addrAgent, portPeers, peers, addrAgent, portHeartbeats))
	f.entry = f.start(bin, dir, "entry", addrEntry, entryMemory, fmt.Sprintf(
		common+"[listen]\ncallers = %s:%d\n[control]\naddresses = %s\n[limits]\nmax-bytes = 64MiB\n%s[placement]\norder = urgent\nspeeds = true\n[agents]\npoke = 16\npulse = 250ms\ngone-after = 1s\ndials = 16\n[crashes]\nquarantine-share = 0.25\n[platform]\nclients = %s:%d\nreadiness = %s:%d\nhold-unconfigured = 1s\n",
		"entry", addrEntry, portCallers, peers, o.limits, addrEntry, portClients, addrEntry, portReady))
	f.startUpstream()
	f.publish()
	f.requireOrdinaryAnswer("before the crowd")
	return f
}

// start starts a program with the descriptors of a host and measures it.
func (f *fleet) start(bin, dir, role, addr string, memory int64, settings string) *process {
	f.t.Helper()
	path := filepath.Join(dir, role+".ini")
	require.NoError(f.t, os.WriteFile(path, []byte(settings), 0o600))
	p := &process{name: role, addr: addr, memory: memory, ended: make(chan struct{})}
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(hostDescriptors),
		filepath.Join(bin, "fireflytray-"+role), "--config", path)
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	require.NoError(f.t, p.cmd.Start())
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // the end is checked by alive
	}()
	f.t.Cleanup(func() { f.stop(p) })
	m := newMeter(p)
	f.meters = append(f.meters, m)
	f.t.Cleanup(m.stop)
	return p
}

// stop ends a process and logs its last output if the test has failed.
func (f *fleet) stop(p *process) {
	if p.alive() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended since
		select {
		case <-p.ended:
		case <-time.After(stopTimeout):
			f.t.Errorf("%s has not ended %s after SIGTERM", p.name, stopTimeout)
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	if f.t.Failed() {
		text := p.output.Bytes()
		f.t.Logf("last output of %s:\n%s", p.name, text[max(0, len(text)-maxLoggedOutput):])
	}
}

func (f *fleet) startUpstream() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- standin.Run(ctx, standin.Options{
			ID: "up-1", Service: service, MilliCPU: 4000, MaxLease: time.Second, Ledger: f.ledger,
			Addr: address(addrUpstream, portUpstream), Agent: address(addrAgent, portHeartbeats),
		})
	}()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("upstream: %v", err)
		}
	})
}

// manifest has the limits that the operator announces.
var manifest = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":60,"priority":0,"service":%q,"maxAttempts":3,"latencyFactor":3}],"services":[{"name":%q}],"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
	host, prefix, service, service, maxHeaderBytes, maxBodyBytes)

func (f *fleet) publish() {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.putManifest(manifest) == http.StatusOK }, waitTimeout, pollInterval, "the manifest is acknowledged")
}

// putManifest returns the status of the operator's call, 0 if there was no answer.
func (f *fleet) putManifest(text string) int {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/config", addrControl, portOperators), strings.NewReader(text))
	require.NoError(f.t, err)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// requireOrdinaryAnswer requires that an ordinary client gets its job completed. It
// sends it again, like the clients of the platform, when it is refused or cut off.
func (f *fleet) requireOrdinaryAnswer(when string) {
	f.t.Helper()
	last := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if last = f.request(newJob()); strings.HasPrefix(last, "200 ") && strings.Contains(last, `"completed"`) {
			return
		}
	}
	f.t.Errorf("%s no ordinary request was answered; the last one: %s", when, last)
}

// request sends a job on a connection of its own and describes the answer.
func (f *fleet) request(j job) string {
	f.ledger.Submitted(j.id)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", addrEntry, portClients, prefix, j.id), strings.NewReader(j.body))
	require.NoError(f.t, err)
	req.Host = host
	for name, value := range j.header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, text.String())
}

// requireBounds requires that every process lives and has stayed within its host, and
// that no rule of the runs was broken.
func (f *fleet) requireBounds() {
	f.t.Helper()
	for _, m := range f.meters {
		m.check(f.t)
	}
	for _, v := range f.ledger.Violations() {
		f.t.Error(v)
	}
}
