package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/platform/standin"
)

const (
	cancelSides = 2
	// cancelTasks is the width of the largest jobs that the users' first letter names,
	// cancelRunTime what each task takes. The upstreams run about twenty at a time.
	cancelTasks   = 140
	cancelRunTime = time.Second
	// cancelBudget is how long the client waits for the answer.
	cancelBudget = 20 * time.Second
	// cancelDelay is the time from the submission to the cancellation.
	cancelDelay = 500 * time.Millisecond
	// cancelLimit is cancel_ms.
	cancelLimit = 3 * time.Second
	// cancelObserved is how long the starts are counted after cancelLimit.
	cancelObserved = 3 * time.Second
	// cancelRetry is the pause before the client sends its cancellation again.
	cancelRetry = 100 * time.Millisecond
)

// playCancel submits a job at one entry and cancels it half a second later. The channel
// of the cancellation is reset, and the client sends it again, which reaches another entry
// and is acknowledged there. The rule is UNASKED: no task of the job may start later than
// cancel_ms after that.
func playCancel(f *fleet, trouble bool) (string, error) {
	d, err := f.deploy(cancelSides)
	if err != nil {
		return "", err
	}
	const version = 2
	if !f.putManifest(d.fronts[0], manifestFor(version, cancelBudget, routePrefix)) {
		return "", errNotAccepted
	}
	time.Sleep(2 * time.Second) // configApplyMs
	id := fmt.Sprintf("%016x", rand.Uint64())
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		f.submitWide(d.fronts[0], id)
	}()
	time.Sleep(cancelDelay)
	status, err := f.cancelJob(d, id, trouble)
	if err != nil {
		return "", err
	}
	if status != http.StatusGone && status/100 != 2 {
		return "", fmt.Errorf("the cancellation was answered %d", status)
	}
	time.Sleep(cancelLimit + stopGrace)
	before := f.ledger.Started(id)
	f.rec.add("%s after the cancellation was acknowledged with %d, %d tasks have started", cancelLimit+stopGrace, status, before)
	time.Sleep(cancelObserved)
	after := f.ledger.Started(id)
	f.rec.add("%s later, %d tasks have started", cancelObserved, after)
	<-answered
	if after > before {
		return fmt.Sprintf("UNASKED: job %s was cancelled, acknowledged with %d; %d of its tasks started later than %s after that", id, status, after-before, cancelLimit), nil
	}
	return "", nil
}

var errNotReset = errors.New("the channel was not reset")

// submitWide sends a job of cancelTasks tasks and waits for its answer.
func (f *fleet) submitWide(m *machine, id string) {
	body, err := json.Marshal(map[string]any{
		"jobSpec": standin.Payload(cancelRunTime, taskMilliCPU), "bestEffort": true,
		"steps": []any{map[string]any{"count": cancelTasks, "cpu": taskMilliCPU, "memMb": taskMemoryMB, "estimateMs": cancelRunTime.Milliseconds()}},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	f.ledger.Submitted(id)
	f.rec.add("client: POST %s at %s: %d tasks of %s", id, m.name, cancelTasks, cancelRunTime)
	header := map[string]string{"Host": routeHost, "X-Fireflytray-Deadline-Ms": fmt.Sprint(cancelBudget.Milliseconds())}
	status, answer, err := call(http.MethodPost, address(m.ip, clientsPort), routePrefix+id, header, body, cancelBudget+time.Second)
	f.rec.add("client: POST %s at %s answered: %d %s %v", id, m.name, status, strings.TrimSpace(answer), err)
}

// cancelJob cancels the job that the first entry holds. With trouble, the channel is
// reset before an answer, and the second attempt reaches the second entry.
func (f *fleet) cancelJob(d *deployment, id string, trouble bool) (status int, err error) {
	if trouble {
		addr, err := f.resettingAddress()
		if err != nil {
			return 0, err
		}
		if _, err := f.deleteJob(d.fronts[0].name+" (its channel is reset)", addr, id); err == nil {
			return 0, errNotReset
		}
		time.Sleep(cancelRetry)
		return f.deleteJob(d.fronts[1].name, address(d.fronts[1].ip, clientsPort), id)
	}
	return f.deleteJob(d.fronts[0].name, address(d.fronts[0].ip, clientsPort), id)
}

func (f *fleet) deleteJob(name, addr, id string) (status int, err error) {
	status, answer, err := call(http.MethodDelete, addr, routePrefix+id, map[string]string{"Host": routeHost}, nil, jobBudget)
	f.rec.add("client: DELETE %s at %s answered: %d %s %v", id, name, status, strings.TrimSpace(answer), err)
	return status, err
}

// resettingAddress returns an address that resets each channel, as the balancer's does
// when the channel behind it is reset.
func (f *fleet) resettingAddress() (string, error) {
	ln, err := net.Listen("tcp", address(f.ip(firstProxyIP), clientsPort))
	if err != nil {
		return "", fmt.Errorf("listen for a client: %w", err)
	}
	go func() {
		<-f.ctx.Done()
		ln.Close()
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0) // close resets the channel
			c.Close()
		}
	}()
	return ln.Addr().String(), nil
}
