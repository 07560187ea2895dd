package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is limits.memoryMb of a front host of the site.
	memoryLimit = 284 << 20
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = time.Second
	// manyRoutes and fewRoutes are the sizes of the manifests, changes their number.
	manyRoutes = 600
	fewRoutes  = 11
	changes    = 300
	// changesWithin bounds the time in which the operator makes the changes.
	changesWithin = 70 * time.Second
	// quietTime is how long the processes are watched after the last change.
	quietTime = 10 * time.Second
)

// memoryGuard is the part of the platform that kills a process over its memory limit
// and restarts it.
type memoryGuard struct {
	f    *fleet
	stop chan struct{}
	wg   sync.WaitGroup
	// kills and peak are by host.
	kills map[string]int
	peak  map[string]int64
}

func newMemoryGuard(f *fleet) *memoryGuard {
	g := &memoryGuard{f: f, stop: make(chan struct{}), kills: map[string]int{}, peak: map[string]int64{}}
	g.wg.Go(g.run)
	return g
}

func (g *memoryGuard) run() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
		}
		for _, p := range g.f.processes {
			if p.role == "control" {
				g.check(p)
			}
		}
	}
}

func (g *memoryGuard) check(p *process) {
	used := residentMemory(p.cmd.Process.Pid)
	g.peak[p.host.name] = max(g.peak[p.host.name], used)
	if used <= memoryLimit {
		return
	}
	g.kills[p.host.name]++
	g.f.rec.printf("platform: control of %s uses %d MB, its limit is %d MB: killed, %d times so far", p.host.name, used>>20, memoryLimit>>20, g.kills[p.host.name])
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
	time.Sleep(restartDelay)
	if err := g.f.restart(p); err != nil {
		g.f.rec.printf("platform: %v", err)
	}
}

func (g *memoryGuard) end() {
	close(g.stop)
	g.wg.Wait()
}

// residentMemory returns the anonymous resident memory of a process in bytes, without the
// pages of its program.
func residentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// memoryCase changes the time-outs of a manifest hundreds of times. The disruption is
// that the manifest has many routes.
func memoryCase(f *fleet, trouble bool) (bool, error) {
	count := fewRoutes
	if trouble {
		count = manyRoutes
	}
	plain := newRoute("r-1", "nony24.example", "/lohu930/")
	if err := f.publish(manifest(1, plain)); err != nil {
		return false, err
	}
	if err := f.awaitServing(plain); err != nil {
		return false, err
	}
	guard := newMemoryGuard(f)
	acked, failed := f.changeTimeouts(plain, count)
	f.rec.printf("operator: %d changes acknowledged, %d calls without an acknowledgement, the manifest has %d routes", acked, failed, count)
	time.Sleep(quietTime)
	for _, h := range f.hosts[:3] {
		status, answer := call(3*time.Second, http.MethodGet, fmt.Sprintf("%s:%d", h.addr, portOperators), "", "/config", "", nil)
		f.rec.printf("operator: GET /config at %s: %d, %d bytes", h.name, status, len(answer))
	}
	guard.end()
	hosts := 0
	for _, h := range f.hosts[:3] {
		f.rec.printf("platform: control of %s was killed %d times, its peak was %d MB", h.name, guard.kills[h.name], guard.peak[h.name]>>20)
		if guard.kills[h.name] >= 3 {
			hosts++
		}
	}
	return 2*hosts >= 3, nil
}

// changeTimeouts sends manifests with rising versions, each with other time-outs. A call
// without an acknowledgement is sent again to the next host.
func (f *fleet) changeTimeouts(plain route, count int) (acked, failed int) {
	end := time.Now().Add(changesWithin)
	next := 0
	for i := 0; i < changes && time.Now().Before(end); i++ {
		routes := []route{plain}
		for n := range count - 1 {
			routes = append(routes, newRoute(fmt.Sprintf("r-%04d", n), fmt.Sprintf("host%04d.example", n), fmt.Sprintf("/p%04d/", n)))
		}
		for n := range routes {
			routes[n].TimeoutMS = 1500 + i
		}
		text := manifest(2+2*i, routes...)
		for tries := 0; time.Now().Before(end); tries++ {
			h := f.hosts[next%3]
			status, answer := call(3*time.Second, http.MethodPut, fmt.Sprintf("%s:%d", h.addr, portOperators), "", "/config", text, nil)
			if i%25 == 0 || status != http.StatusOK {
				f.rec.printf("operator: PUT /config version %d, %d bytes, to %s: %d %.100s", 2+2*i, len(text), h.name, status, answer)
			}
			if status == http.StatusOK {
				acked++
				break
			}
			failed++
			next++
			time.Sleep(min(time.Duration(tries+1)*100*time.Millisecond, time.Second))
		}
	}
	return acked, failed
}
