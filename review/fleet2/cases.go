package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func hostCase(f *fleet, trouble bool) (bool, error) {
	plain := newRoute("r-1", "nony24.example", "/lohu930/")
	if err := f.publish(manifest(1, plain)); err != nil {
		return false, err
	}
	if err := f.awaitServing(plain); err != nil {
		return false, err
	}
	added := newRoute("r-2", "Portal.Prairie.example", "/disputes/")
	if !trouble {
		added.Host = strings.ToLower(added.Host)
	}
	if err := f.publish(manifest(4, plain, added)); err != nil {
		return false, err
	}
	time.Sleep(configApply + time.Second)
	status, text := call(time.Second, http.MethodGet, fmt.Sprintf("%s:%d", f.hosts[1].addr, portOperators), "", "/config", "", nil)
	f.rec.printf("operator: GET /config at %s: %d %s", f.hosts[1].name, status, text)
	broken := false
	for i, h := range f.entries() {
		status, _ := f.submit(h, added.Host, fmt.Sprintf("%s%016x", added.Prefix, 0xbb00+i), jobBody(2, 1000, 100*time.Millisecond), 3*time.Second)
		broken = broken || status == http.StatusNotFound
	}
	return broken, nil
}

func cancelCase(f *fleet, trouble bool) (bool, error) {
	r := newRoute("r-1", "nony24.example", "/lohu930/")
	r.TimeoutMS, r.TargetLatencyMS = 10000, 8000
	if err := f.publish(manifest(1, r)); err != nil {
		return false, err
	}
	if err := f.awaitServing(r); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	frozen := f.find("front-1", "entry")
	other := f.find("front-2", "entry")
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { f.signal(frozen, syscall.SIGCONT) })
	}
	const job = "5c0e7a21d94b36f8"
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.submit(frozen.host, r.Host, r.Prefix+job, jobBody(4, 6200, 900*time.Millisecond), 10*time.Second)
	}()
	time.Sleep(100 * time.Millisecond)
	status := f.cancel(other.host, r.Host, r.Prefix+job)
	acked := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return false, fmt.Errorf("%w: DELETE was not acknowledged", errSetup)
	}
	<-done
	time.Sleep(2 * time.Second)
	return f.startedAfterCancel(job, acked), nil
}

// resendCase lets a copy of a request arrive seconds after its 2xx response, at another
// entry. The job has been cancelled before.
func resendCase(f *fleet, trouble bool) (bool, error) {
	r := newRoute("r-1", "nony24.example", "/lohu930/")
	if err := f.publish(manifest(1, r)); err != nil {
		return false, err
	}
	if err := f.awaitServing(r); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	first, other, third := f.find("core-1", "entry").host, f.find("front-1", "entry").host, f.find("front-2", "entry").host
	const job = "5c0e7a21d94b36f8"
	body := jobBody(4, 6200, 900*time.Millisecond)
	answered := make(chan int, 1)
	go func() {
		status, _ := f.submit(first, r.Host, r.Prefix+job, body, 6*time.Second)
		answered <- status
	}()
	time.Sleep(300 * time.Millisecond)
	status := f.cancel(other, r.Host, r.Prefix+job)
	acked := time.Now()
	if status != http.StatusOK {
		return false, fmt.Errorf("%w: DELETE was not acknowledged", errSetup)
	}
	if status := <-answered; status != http.StatusOK {
		return false, fmt.Errorf("%w: the POST had no 2xx response", errSetup)
	}
	time.Sleep(time.Until(acked.Add(cancelWithin + 500*time.Millisecond)))
	if trouble {
		f.submit(third, r.Host, r.Prefix+job, body, 6*time.Second)
	}
	time.Sleep(2 * time.Second)
	return f.startedAfterCancel(job, acked), nil
}

// cancel cancels a job at the entry on a host and records the answer.
func (f *fleet) cancel(h *host, routeHost, path string) (status int) {
	status, answer := call(3*time.Second, http.MethodDelete, fmt.Sprintf("%s:%d", h.addr, portClients), routeHost, path, "", nil)
	f.rec.printf("client: DELETE %s%s at %s: %d %s", routeHost, path, h.name, status, answer)
	return status
}

// startedAfterCancel reports whether a task of a job has started later than allowed after
// its cancelling was acknowledged.
func (f *fleet) startedAfterCancel(job string, acked time.Time) bool {
	late := f.rec.startsOf(job, acked.Add(cancelWithin))
	for _, e := range late {
		f.rec.printf("UNASKED: at %.3f s, %.3f s later than allowed: %s", e.at.Sub(f.rec.begin).Seconds(), e.at.Sub(acked.Add(cancelWithin)).Seconds(), e.text)
	}
	return len(late) > 0
}

// encodingCase sends a manifest in which one byte is damaged, so that its text is not UTF-8.
func encodingCase(f *fleet, trouble bool) (bool, error) {
	portal := newRoute("r-1", "nony24.example", "/lohu930/")
	first := manifest(1, portal)
	if err := f.publish(first); err != nil {
		return false, err
	}
	if err := f.awaitServing(portal); err != nil {
		return false, err
	}
	portal.TimeoutMS = 2000
	changed := manifest(4, portal)
	if trouble {
		changed = strings.Replace(changed, "nony24", "\xeeony24", 1)
	}
	f.rec.printf("operator: PUT /config %q", changed)
	acked := false
	for tries := 0; tries < 3 && !acked; tries++ {
		status, answer := call(time.Second, http.MethodPut, fmt.Sprintf("%s:%d", f.hosts[tries].addr, portOperators), "", "/config", changed, nil)
		f.rec.printf("operator: PUT /config at %s: %d %s", f.hosts[tries].name, status, answer)
		acked = status == http.StatusOK
	}
	time.Sleep(configApply + time.Second)
	refused := 0
	for i, h := range f.entries() {
		status, _ := f.submit(h, portal.Host, fmt.Sprintf("%s%016x", portal.Prefix, 0xcc00+i), jobBody(2, 1000, 100*time.Millisecond), 3*time.Second)
		if status == http.StatusNotFound {
			refused++
		}
	}
	f.rec.printf("the manifest was acknowledged: %t; %d entries refuse the route with 404", acked, refused)
	return trouble && acked, nil
}

// zeroCase sends a first manifest with the version 0.
func zeroCase(f *fleet, trouble bool) (bool, error) {
	version := 1
	if trouble {
		version = 0
	}
	if err := f.publish(manifest(version, newRoute("r-1", "nony24.example", "/lohu930/"))); err != nil {
		return false, err
	}
	read := false
	for range 16 {
		time.Sleep(500 * time.Millisecond)
		for _, h := range f.hosts[:3] {
			status, answer := call(time.Second, http.MethodGet, fmt.Sprintf("%s:%d", h.addr, portOperators), "", "/config", "", nil)
			f.rec.printf("operator: GET /config at %s: %d %.100s", h.name, status, answer)
			read = read || status == http.StatusOK
		}
	}
	return !read, nil
}

// removedCase removes the route of a job in progress, which its client then cancels.
func removedCase(f *fleet, trouble bool) (bool, error) {
	kept, removed := newRoute("r-1", "nony24.example", "/lohu930/"), newRoute("r-2", "nony24.example", "/pule252/")
	removed.TimeoutMS, removed.TargetLatencyMS = 40000, 30000
	if err := f.publish(manifest(1, kept, removed)); err != nil {
		return false, err
	}
	if err := f.awaitServing(removed); err != nil {
		return false, err
	}
	const job = "5c0e7a21d94b36f8"
	holder, other := f.find("core-1", "entry").host, f.find("front-1", "entry").host
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.submit(holder, removed.Host, removed.Prefix+job, jobBody(60, executorCores, time.Second), 30*time.Second)
	}()
	time.Sleep(time.Second)
	if trouble {
		if err := f.publish(manifest(4, kept)); err != nil {
			return false, err
		}
		time.Sleep(configApply)
	}
	sent, answered := time.Now(), false
	for !answered && time.Since(sent) < 15*time.Second {
		for _, h := range []*host{other, holder} {
			status := f.cancel(h, removed.Host, removed.Prefix+job)
			answered = answered || status == http.StatusOK || status == http.StatusGone
		}
		time.Sleep(time.Second)
	}
	<-done
	if answered {
		return f.startedAfterCancel(job, time.Now()), nil
	}
	return f.startedAfterCancel(job, sent.Add(ackWithin)), nil
}

const (
	// coreDown is how long the hosts with a disk are down.
	coreDown = 900 * time.Millisecond
	// waitingJobs is the number of jobs in progress that are cancelled, each with jobTasks
	// tasks.
	waitingJobs = 40
	jobTasks    = 120
)

// coreCase cancels jobs in progress through the entries of the hosts with a disk, just
// after all processes there were killed and started again.
func coreCase(f *fleet, trouble bool) (bool, error) {
	r := newRoute("r-1", "nony24.example", "/lohu930/")
	r.TimeoutMS, r.TargetLatencyMS = 60000, 50000
	if err := f.publish(manifest(1, r)); err != nil {
		return false, err
	}
	if err := f.awaitServing(r); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	holder := f.find("front-1", "entry").host
	var jobs []string
	for i := range waitingJobs {
		jobs = append(jobs, fmt.Sprintf("5c0e7a21d94b%04x", i))
		go f.submit(holder, r.Host, r.Prefix+jobs[i], jobBody(jobTasks, executorCores/2, time.Second), 58*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := f.loseCore(); err != nil {
			return false, err
		}
	}
	// All hosts are in touch again by then.
	calm := time.Now().Add(2 * contact)
	acked := f.cancelAll(r, jobs)
	time.Sleep(cancelWithin + 8*time.Second)
	broken := false
	for _, job := range jobs {
		at, ok := acked[job]
		if !ok {
			continue
		}
		if at.Add(cancelWithin).Before(calm) {
			at = calm.Add(-cancelWithin)
		}
		broken = f.startedAfterCancel(job, at) || broken
	}
	return broken, nil
}

// loseCore kills all processes of the hosts with a disk, and starts them again.
func (f *fleet) loseCore() error {
	var down []*process
	for _, p := range f.processes {
		if p.host.roles[0] == "control" {
			f.signal(p, syscall.SIGKILL)
			down = append(down, p)
		}
	}
	time.Sleep(coreDown)
	for _, p := range down {
		<-p.done
		if err := f.restart(p); err != nil {
			return err
		}
		f.rec.printf("%s %s: started", p.host.name, p.role)
	}
	return nil
}

// cancelAll cancels each job until it has an acknowledgement, and returns when each was
// acknowledged. The clients are in two zones whose only entry is on a host with a disk.
func (f *fleet) cancelAll(r route, jobs []string) map[string]time.Time {
	acked := map[string]time.Time{}
	end := time.Now().Add(6 * time.Second)
	for round := 0; len(acked) < len(jobs) && time.Now().Before(end); round++ {
		for i, job := range jobs {
			if _, ok := acked[job]; ok {
				continue
			}
			status := f.cancel(f.hosts[1+(i+round)%2], r.Host, r.Prefix+job)
			if status == http.StatusOK || status == http.StatusGone {
				acked[job] = time.Now()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return acked
}
