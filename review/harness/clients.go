package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	// jobBudget is the time budget of a job's client.
	jobBudget = 1500 * time.Millisecond
	// operatorPatience is how long an operator waits for an answer.
	operatorPatience = time.Second
	// taskMilliCPU and taskMemory are the needs of a task.
	taskMilliCPU = 6200
	taskMemoryMB = 64
)

// manifest returns a manifest with one route.
func manifest(version int) []byte {
	return manifestWith(version, routePrefix)
}

// manifestWith returns a manifest with a route for each of the prefixes.
func manifestWith(version int, prefixes ...string) []byte {
	return manifestFor(version, 1500*time.Millisecond, prefixes...)
}

// manifestFor is like manifestWith for routes with another time-out, which differs a
// little from one version to the next.
func manifestFor(version int, timeout time.Duration, prefixes ...string) []byte {
	var routes []any
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": routeHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": timeout.Milliseconds() + int64(version),
			"targetLatencyMs": 60, "priority": 0, "service": service, "maxAttempts": 4, "latencyFactor": 1.6,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return text
}

// call makes one HTTP call on a new connection.
func call(method, addr, path string, header map[string]string, body []byte, patience time.Duration) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		if name == "Host" {
			req.Host = value
			continue
		}
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// putManifest sends a manifest to one control host and reports whether it was
// acknowledged.
func (f *fleet) putManifest(m *machine, body []byte) bool {
	status, answer, err := call(http.MethodPut, address(m.ip, controlPort), "/config", nil, body, operatorPatience)
	f.rec.add("operator: PUT /config at %s: %d %s %v; sent %.40s", m.name, status, strings.TrimSpace(answer), err, body)
	return status == http.StatusOK
}

// getManifest reads the manifest back from one control host; the version is -1 without
// a 200.
func (f *fleet) getManifest(m *machine) (version int, answer string) {
	status, answer, err := call(http.MethodGet, address(m.ip, controlPort), "/config", nil, nil, operatorPatience)
	f.rec.add("operator: GET /config at %s: %d %.60s %v", m.name, status, strings.TrimSpace(answer), err)
	if status != http.StatusOK {
		return -1, answer
	}
	var body struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal([]byte(answer), &body); err != nil {
		return -1, answer
	}
	return body.Version, answer
}

var errNotAccepted = errors.New("no control host has accepted the manifest")

// publishUntilAccepted sends a manifest until it is acknowledged.
func (f *fleet) publishUntilAccepted(machines []*machine, version int) error {
	deadline := time.Now().Add(startTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		if f.putManifest(machines[i%len(machines)], manifest(version)) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotAccepted
}

// job is one job with its answer.
type job struct {
	id     string
	status int
	answer string
	err    error
}

// submit sends a job of tasks that take runTime each and waits for its answer.
func (f *fleet) submit(m *machine, tasks int, runTime time.Duration) job {
	return f.submitJob(m, tasks, runTime, runTime, "")
}

// submitJob is like submit for tasks whose client expects estimate. It sends the job
// with the given id again, or a new one if the id is empty.
func (f *fleet) submitJob(m *machine, tasks int, runTime, estimate time.Duration, id string) job {
	j := job{id: id}
	if id == "" {
		j.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	body, err := json.Marshal(map[string]any{
		"jobSpec": standin.Payload(runTime, taskMilliCPU), "bestEffort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": taskMilliCPU, "memMb": taskMemoryMB, "estimateMs": estimate.Milliseconds()}},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	f.ledger.Submitted(j.id)
	f.rec.add("client: POST %s at %s: %d tasks of %s", j.id, m.name, tasks, runTime)
	header := map[string]string{"Host": routeHost, "X-Fireflytray-Deadline-Ms": fmt.Sprint(jobBudget.Milliseconds())}
	j.status, j.answer, j.err = call(http.MethodPost, address(m.ip, clientsPort), routePrefix+j.id, header, body, jobBudget+500*time.Millisecond)
	f.rec.add("client: POST %s at %s answered: %d %s %v", j.id, m.name, j.status, strings.TrimSpace(j.answer), j.err)
	return j
}

// awaitServing waits until an entry completes a job.
func (f *fleet) awaitServing(m *machine) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.submit(m, 1, time.Millisecond).status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s does not serve", m.name)
}

// load submits jobs at all front machines until stop is called, which returns the jobs.
func (f *fleet) load(machines []*machine, clients, tasks int, runTime time.Duration) (stop func() []job) {
	ended := make(chan struct{})
	var mu sync.Mutex
	var jobs []job
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				j := f.submit(machines[i%len(machines)], tasks, runTime)
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		})
	}
	return func() []job {
		close(ended)
		group.Wait()
		return jobs
	}
}
