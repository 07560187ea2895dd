package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

// route is a route of a manifest.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMS       int     `json:"timeoutMs"`
	TargetLatencyMS int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	LatencyFactor   float64 `json:"latencyFactor"`
}

func newRoute(name, host, prefix string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: "non_idempotent", TimeoutMS: 1500, TargetLatencyMS: 60,
		Service: serviceName, MaxAttempts: 3, LatencyFactor: 1.6,
	}
}

// manifest returns the text of a manifest.
func manifest(version int, routes ...route) string {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforceLimits": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // these values always encode
	}
	return string(text)
}

// call makes one HTTP request on a connection of its own. The status is 0 if there was
// no complete answer.
func call(timeout time.Duration, method, addr, host, path, body string, headers map[string]string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// jobBody returns the body of a job of one step.
func jobBody(tasks int, milliCPU uint32, runTime time.Duration) string {
	return fmt.Sprintf(`{"jobSpec":%s,"bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}]}`,
		strconv.Quote(standin.Payload(runTime, milliCPU)), tasks, milliCPU, runTime.Milliseconds())
}

// submit sends a job to the entry on a host and records the answer.
func (f *fleet) submit(h *host, routeHost, path, body string, wait time.Duration) (status int, answer string) {
	f.rec.printf("client: POST %s%s to %s", routeHost, path, h.name)
	f.ledger.Submitted(path[strings.LastIndexByte(path, '/')+1:])
	status, answer = call(wait, http.MethodPost, fmt.Sprintf("%s:%d", h.addr, portClients), routeHost, path, body,
		map[string]string{"X-Fireflytray-Deadline-Ms": strconv.FormatInt(wait.Milliseconds(), 10)})
	f.rec.printf("client: %s%s at %s: %d %s", routeHost, path, h.name, status, answer)
	return status, answer
}

// publish sends a manifest until a host acknowledges it, as the operator does.
func (f *fleet) publish(text string) error {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		for _, h := range f.hosts[:3] {
			status, answer := call(time.Second, http.MethodPut, fmt.Sprintf("%s:%d", h.addr, portOperators), "", "/config", text, nil)
			if status == http.StatusOK {
				f.rec.printf("operator: PUT /config acknowledged by %s: %s", h.name, text)
				return nil
			}
			if status == http.StatusBadRequest {
				f.rec.printf("operator: PUT /config refused by %s: %s", h.name, answer)
				return fmt.Errorf("%w: manifest refused: %s", errSetup, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: no manifest was acknowledged", errSetup)
}

// awaitServing waits until each entry has completed a job on a route.
func (f *fleet) awaitServing(r route) error {
	for i, h := range f.entries() {
		served := false
		for n := 0; n < 60 && !served; n++ {
			status, _ := f.submit(h, r.Host, fmt.Sprintf("%s%08x%08x", r.Prefix, 0xaa000000+i, n), jobBody(1, 1000, 20*time.Millisecond), 1500*time.Millisecond)
			served = status == http.StatusOK
			if !served {
				time.Sleep(300 * time.Millisecond)
			}
		}
		if !served {
			return fmt.Errorf("%w: %s serves nothing", errSetup, h.name)
		}
	}
	return nil
}

// entries returns the hosts that take requests.
func (f *fleet) entries() []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.roles[len(h.roles)-1] == "entry" {
			out = append(out, h)
		}
	}
	return out
}
