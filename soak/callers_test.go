package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

const (
	host    = "soak.example"
	prefix  = "/jobs/"
	service = "soak"
	// callerTimeout bounds the wait of a caller for an answer.
	callerTimeout = 1500 * time.Millisecond
	// maxTasksPerJob bounds the number of tasks of a job.
	maxTasksPerJob = 4
)

// callers submits jobs and records their answers.
type callers struct {
	size
	ledger *standin.Ledger
	mu     sync.Mutex
	// refusedJobs lists the jobs that were answered as not run.
	refusedJobs []string
	// exempted counts the cut requests of direct callers by the reason that allows
	// the cut.
	exempted map[string]int
	// deadlyShare is the share of new jobs that crash upstreams; deadly holds these.
	deadlyShare float64
	deadly      map[string]bool
	// soundMayFail is that of the mode.
	soundMayFail bool
	// maxCrashes is the number of crashes that a deadly task may cause; zero for no
	// bound beyond that of the ledger.
	maxCrashes int

	complete, refusals, timedOut, unanswered atomic.Int64
	// direct counts the answers to direct callers, cuts their requests that ended
	// without a complete answer and without a reason that allows it.
	direct, cuts atomic.Int64
	// forced counts those cuts that followed a second SIGTERM.
	forced atomic.Int64
}

// run submits one job at a time over kept-alive connections until ctx ends.
func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Timeout: callerTimeout}
	for ctx.Err() == nil {
		c.submit(ctx, client, rng)
		sleep(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
	}
}

func (c *callers) submit(ctx context.Context, client *http.Client, rng *rand.Rand) {
	id, req := c.newJob(rng, c.address(netToEntry, rng.IntN(c.entries), portClients))
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		c.unanswered.Add(1)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.unanswered.Add(1)
		return
	}
	c.answered(id, resp, string(text))
}

// newJob returns the id of a new job and the request that submits it to addr.
func (c *callers) newJob(rng *rand.Rand, addr string) (string, *http.Request) {
	id := fmt.Sprintf("%016x", rng.Uint64())
	runTime := time.Duration(20+rng.IntN(250)) * time.Millisecond
	text, path := standin.Payload(runTime, 500), prefix
	if c.deadlyShare > 0 {
		path, text = c.drawKind(rng, id, runTime, text)
	}
	body := fmt.Sprintf(`{"jobSpec":%s,"bestEffort":true,"steps":[{"count":%d,"cpu":500,"memMb":1,"estimateMs":%d}]}`,
		strconv.Quote(text), 1+rng.IntN(maxTasksPerJob), runTime.Milliseconds())
	c.ledger.Submitted(id)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path+id, strings.NewReader(body))
	if err != nil {
		panic(err) // the address and the method are valid
	}
	req.Host = host
	req.Header.Set("X-Fireflytray-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	return id, req
}

func (c *callers) answered(id string, resp *http.Response, text string) {
	switch resp.StatusCode {
	case http.StatusOK:
		c.complete.Add(1)
		if text != `{"state":"completed"}` && !c.mayFail(id) {
			c.ledger.AddViolation("job %s: unexpected answer %s", id, text)
		}
		if c.ledger.Started(id) == 0 {
			c.ledger.AddViolation("job %s was answered as complete but never started", id)
		}
	case http.StatusServiceUnavailable:
		c.refusals.Add(1)
		if resp.Header.Get("Retry-After") == "" {
			c.ledger.AddViolation("job %s was refused without Retry-After", id)
		}
		c.mu.Lock()
		c.refusedJobs = append(c.refusedJobs, id)
		c.mu.Unlock()
	case http.StatusGatewayTimeout:
		c.timedOut.Add(1)
	case http.StatusNotFound:
		c.ledger.AddViolation("job %s was answered with 404 although its route exists", id)
	default:
		c.ledger.AddViolation("job %s: unexpected status %d: %s", id, resp.StatusCode, text)
	}
}

// check verifies that no job refused as not run has started.
func (c *callers) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refusedJobs {
		if n := c.ledger.Started(id); n > 0 {
			c.ledger.AddViolation("job %s was refused as not run but started %d runs", id, n)
		}
	}
}

// operator publishes configuration documents with increasing versions and reads
// them back.
type operator struct {
	size
	ledger *standin.Ledger
	client http.Client
	// published is the highest version sent, acked the highest acknowledged.
	published, acked atomic.Int64
	// lastResult describes the outcome of the last call.
	lastResult atomic.Pointer[string]
}

func (o *operator) run(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		o.publish(ctx, rng)
		o.read(ctx, rng)
		sleep(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
}

func configDocument(version int64) string {
	timeout := callerTimeout.Milliseconds() + version%7 // versions differ in content
	route := func(name, path string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":%d,"targetLatencyMs":60,"priority":0,"service":%q,"maxAttempts":3,"latencyFactor":3}`,
			name, host, path, timeout, service)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":%q}]}`,
		version, route("r", prefix), route("risky", riskyPrefix), service)
}

// publish sends the next version to random hosts until one acknowledges it.
func (o *operator) publish(ctx context.Context, rng *rand.Rand) {
	version := o.published.Add(1 + rng.Int64N(3))
	for ctx.Err() == nil {
		status, _ := o.call(ctx, rng, http.MethodPut, configDocument(version))
		if status == http.StatusOK {
			o.acked.Store(max(o.acked.Load(), version))
			return
		}
		if status == http.StatusBadRequest {
			o.ledger.AddViolation("valid version %d was rejected", version)
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

var versionPattern = regexp.MustCompile(`"version":(\d+)`)

// read gets the current document from a random host and verifies that it is not
// older than the version acknowledged before the call.
func (o *operator) read(ctx context.Context, rng *rand.Rand) int64 {
	before := o.acked.Load()
	status, text := o.call(ctx, rng, http.MethodGet, "")
	if status != http.StatusOK {
		return 0
	}
	match := versionPattern.FindStringSubmatch(text)
	if match == nil {
		o.ledger.AddViolation("answer of a host has no version: %s", text)
		return 0
	}
	got, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil || got < before || got > o.published.Load() {
		o.ledger.AddViolation("read version %d (%v), acknowledged before %d, sent %d", got, err, before, o.published.Load())
	}
	if text != configDocument(got) {
		o.ledger.AddViolation("version %d differs from the published document: %s", got, text)
	}
	return got
}

// call calls a random host. The status is 0 if there was no complete answer.
func (o *operator) call(ctx context.Context, rng *rand.Rand, method, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + o.address(netControl, o.hosts.draw(rng), portOperators) + "/config"
	status, text, err := o.do(ctx, method, url, body)
	result := fmt.Sprintf("%s %s: status %d, %v, %s", method, url, status, err, text)
	o.lastResult.Store(&result)
	return status, text
}

func (o *operator) do(ctx context.Context, method, url, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(text), nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
