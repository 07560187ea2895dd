package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

const (
	oddReportSides   = 6
	oddReportClients = 9
	oddReportTasks   = 4
	oddReportRunTime = 900 * time.Millisecond
	// settleTime is the load before the disruption, observeTime the load after it.
	settleTime  = 4 * time.Second
	observeTime = 6 * time.Second
)

// playOddReport sends one liveness report from another writer, whose service no
// manifest names, to the agent of one side machine. It names no upstream to use, so that
// the tasks at the upstream of that machine have to go on. The rule is TWICE: no task
// has two runs at the same time on upstreams that are up.
func playOddReport(f *fleet, trouble bool) (string, error) {
	d, err := f.deploy(oddReportSides)
	if err != nil {
		return "", err
	}
	stop := f.load(d.fronts, oddReportClients, oddReportTasks, oddReportRunTime)
	time.Sleep(settleTime)
	if trouble {
		if err := f.sendOddReport(d, 0); err != nil {
			return "", err
		}
	}
	time.Sleep(observeTime)
	stop()
	return f.concurrentRuns(), nil
}

// sendOddReport sends the agent of a side machine a report of another writer.
func (f *fleet) sendOddReport(d *deployment, side int) error {
	const id = "i-0badc0de"
	body, err := json.Marshal(map[string]any{
		"service": "not-in-the-manifest", "address": address(d.sides[side].ip, upstreamPort), "zone": d.sides[side].zone,
		"version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": hostMilliCPU, "memMb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clockMs": 1000, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	status, answer, err := call(http.MethodPut, address(d.sides[side].ip, controlPort), "/instances/"+id, nil, body, time.Second)
	f.rec.add("another writer: PUT /instances/%s at %s: %d %s %v; sent %s", id, d.sides[side].name, status, strings.TrimSpace(answer), err, body)
	return nil
}

// concurrentRuns returns the first task that had two runs at the same time.
func (f *fleet) concurrentRuns() string {
	for _, v := range f.ledger.Violations() {
		f.rec.add("violation: %s", v)
	}
	for _, v := range f.ledger.Violations() {
		if strings.Contains(v, "concurrent runs of") {
			return "TWICE: " + v
		}
	}
	return ""
}
