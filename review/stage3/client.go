package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	service     = "huvo11a"
	host        = "nony24.example"
	prefix      = "/pule252/"
	retransmit  = 1300 * time.Millisecond
	headerLimit = "X-Fireflytray-Deadline-Ms"
)

// manifest returns a manifest with one queue at a host.
func manifest(version int, host string) []byte {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
			"priority": 1, "service": service, "maxAttempts": 2, "latencyFactor": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// publish sends a manifest until a control host acknowledges it.
func (f *fleet) publish(ctx context.Context, version int, body []byte) error {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		m := f.fronts[i%3]
		if put(ctx, client, "http://"+m.at(portOperators)+"/config", body) {
			f.record.note("manifest %d acknowledged by %s", version, m.name)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("manifest %d was not acknowledged", version)
}

// readManifest reads the manifest at a control host.
func (f *fleet) readManifest(m *machine) (status int, text []byte) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.at(portOperators) + "/config")
	if err != nil {
		f.record.note("GET /config at %s: %v", m.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	if err != nil {
		f.record.note("GET /config at %s: %v", m.name, err)
		return 0, nil
	}
	f.record.note("GET /config at %s: %d %q", m.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// job is a job of a client.
type job struct {
	id       string
	tasks    int
	cpu      int // thousandths of a core, for each task
	takes    time.Duration
	estimate time.Duration
	budget   time.Duration // how long the client waits for an answer
	host     string        // host of the queue, empty for the usual one
}

func newJobID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

func (j *job) body() []byte {
	spec, err := json.Marshal(work{j.takes.Milliseconds()})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{
		"jobSpec": string(spec), "bestEffort": true,
		"steps": []any{map[string]any{"count": j.tasks, "cpu": j.cpu, "memMb": 64, "estimateMs": j.estimate.Milliseconds()}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// send sends a job to a front host once and returns the status, 0 without an answer.
func (f *fleet) send(ctx context.Context, m *machine, j *job) int {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: j.budget + 500*time.Millisecond}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.at(portClients)+prefix+j.id, bytes.NewReader(j.body()))
	if err != nil {
		f.record.note("client can't send %s: %v", j.id, err)
		return 0
	}
	req.Host = cmp.Or(j.host, host)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerLimit, strconv.FormatInt(j.budget.Milliseconds(), 10))
	f.record.note("client sends %s to %s", j.id, m.name)
	resp, err := client.Do(req)
	if err != nil {
		f.record.note("client gets no answer to %s from %s: %v", j.id, m.name, err)
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.record.note("client gets a broken answer to %s from %s: %v", j.id, m.name, err)
		return 0
	}
	f.record.note("client gets %d to %s from %s: %s", resp.StatusCode, j.id, m.name, text)
	return resp.StatusCode
}

// submit sends a job, and sends it again to other front hosts after no answer, 502 or 504.
func (f *fleet) submit(ctx context.Context, rng *rand.Rand, j *job, sends int) int {
	first := rng.IntN(len(f.fronts))
	status := 0
	for n := range sends {
		status = f.send(ctx, f.fronts[(first+n)%len(f.fronts)], j)
		if ctx.Err() != nil || status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		select {
		case <-ctx.Done():
			return status
		case <-time.After(retransmit):
		}
	}
	return status
}
