package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	rebornSides   = 8
	rebornJobs    = 9
	rebornTasks   = 3
	rebornRunTime = 300 * time.Millisecond
	rebornRounds  = 50
	// rebornDown is how long a crashed upstream is down, reportDelay the time from when
	// it listens again to the arrival of its first liveness report.
	rebornDown  = 100 * time.Millisecond
	reportDelay = 100 * time.Millisecond
	// rebornIdle is the time without jobs before each crash, so that nothing calls the
	// upstream while it is down.
	rebornIdle = 500 * time.Millisecond
)

// playReborn lets idle upstreams crash and start again under their ids, one at a time,
// and submits jobs once the upstream listens again. The rule is TWICE.
func playReborn(f *fleet, trouble bool) (string, error) {
	d, err := f.deploy(rebornSides)
	if err != nil {
		return "", err
	}
	for i := range rebornSides {
		if err := f.delayReports(d, i); err != nil {
			return "", err
		}
	}
	for round := range rebornRounds {
		time.Sleep(rebornIdle)
		i := round % rebornSides
		if trouble {
			f.rec.add("upstream %s crashes", d.upstreamIDs[i])
			d.stopUpstream[i]()
			time.Sleep(rebornDown)
			d.stopUpstream[i] = f.runUpstream(d, i)
			time.Sleep(reportDelay / 4)
		}
		var jobs sync.WaitGroup
		for n := range rebornJobs {
			jobs.Go(func() { f.submit(d.fronts[n%fronts], rebornTasks, rebornRunTime) })
		}
		jobs.Wait()
		if broken := f.concurrentRuns(); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

// delayReports passes the liveness reports of an upstream to its agent through a proxy
// that holds each of them for reportDelay.
func (f *fleet) delayReports(d *deployment, i int) error {
	agent := address(d.sides[i].ip, controlPort)
	ln, err := net.Listen("tcp", address(f.ip(firstProxyIP+i), controlPort))
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	proxy := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		time.Sleep(reportDelay)
		if err != nil || forwardReport(r, agent, body) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go proxy.Serve(ln)
	context.AfterFunc(f.ctx, func() { proxy.Close() })
	d.reportTo[i] = ln.Addr().String()
	d.stopUpstream[i]()
	d.stopUpstream[i] = f.runUpstream(d, i)
	return nil
}

func forwardReport(r *http.Request, agent string, body []byte) error {
	req, err := http.NewRequest(r.Method, "http://"+agent+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
