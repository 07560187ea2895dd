package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	historySides = 1
	// grownRoutes is the number of routes of the grown manifest, plainRoutes that of the
	// manifest that does not grow.
	grownRoutes = 1100
	plainRoutes = 8
	// historyChanges bounds the changes, historyFor their time. changeGap is the
	// shortest time from one change to the next, that of config_storm in the site files.
	historyChanges = 400
	historyFor     = 85 * time.Second
	changeGap      = 330 * time.Millisecond
	// memoryLimit is memoryMb of a front machine with a disk, in units of 1 MiB.
	memoryLimit = 408
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 500 * time.Millisecond
	// ownEnds is how often a process may not end by itself in a day, on half of the core.
	ownEnds          = 3
	memoryCheckEvery = 20 * time.Millisecond
	// manifestReadFor is how long the operator reads the manifest back, more than
	// contactMs.
	manifestReadFor = 5 * time.Second
)

// playHistory sends changes of the time-outs of a manifest with many routes, each once the
// one before is acknowledged, and ends and restarts control hosts that use more memory
// than their machine has, as the platform does. Nothing else happens. The rule is Fault:
// on half of the core, processes end by themselves three times.
func playHistory(f *fleet, trouble bool) (string, error) {
	d, err := f.deploy(historySides)
	if err != nil {
		return "", err
	}
	routes := plainRoutes
	if trouble {
		routes = grownRoutes
	}
	limiters := f.limitMemory(d)
	acked := f.changeTimeouts(d, routes, limiters)
	f.rec.add("%d versions were acknowledged; %s", acked, limiters)
	if !limiters.faulty() {
		return "", nil
	}
	newest, readUntil := -1, time.Now().Add(manifestReadFor)
	for i := 0; time.Now().Before(readUntil); i++ {
		version, _ := f.getManifest(d.fronts[i%fronts])
		newest = max(newest, version)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Sprintf("Fault: %s; version %d was acknowledged, read back for %s the newest was %d (-1: none came)", limiters, acked, manifestReadFor, newest), nil
}

// changeTimeouts sends versions until historyFor is over or the control hosts are faulty,
// and returns the newest acknowledged one.
func (f *fleet) changeTimeouts(d *deployment, routes int, l limiters) (acked int) {
	acked = 1
	end := time.Now().Add(historyFor)
	for n := 0; acked < historyChanges && time.Now().Before(end) && !l.faulty(); n++ {
		sent := time.Now()
		if f.putManifest(d.fronts[n%fronts], wideManifest(acked+1, routes)) {
			acked++
		}
		time.Sleep(time.Until(sent.Add(changeGap)))
	}
	return acked
}

// wideManifest returns a manifest whose time-outs depend on the version.
func wideManifest(version, routes int) []byte {
	prefixes := []string{routePrefix}
	for i := 1; i < routes; i++ {
		prefixes = append(prefixes, fmt.Sprintf("/pule%04d/", i))
	}
	return manifestWith(version, prefixes...)
}

// limiter ends the process of a control host that uses too much memory, and restarts it.
type limiter struct {
	f       *fleet
	machine *machine

	mu    sync.Mutex
	kills int
	peak  int // in MiB
}

type limiters []*limiter

// limitMemory watches all control hosts until the fleet is closed.
func (f *fleet) limitMemory(d *deployment) limiters {
	var out limiters
	for i, m := range d.fronts {
		l := &limiter{f: f, machine: m}
		out = append(out, l)
		f.helpers.Go(func() { l.run(d.controls[i]) })
	}
	return out
}

// faulty reports whether the processes of half of the core have ended ownEnds times.
func (l limiters) faulty() bool {
	n := 0
	for _, x := range l {
		x.mu.Lock()
		if x.kills >= ownEnds {
			n++
		}
		x.mu.Unlock()
	}
	return 2*n >= len(l)
}

func (l limiters) String() string {
	var parts []string
	for _, x := range l {
		x.mu.Lock()
		parts = append(parts, fmt.Sprintf("%s/control ended %d times over %d MB, peak %d MB", x.machine.name, x.kills, memoryLimit, x.peak))
		x.mu.Unlock()
	}
	return strings.Join(parts, ", ")
}

func (l *limiter) run(p *process) {
	for l.f.ctx.Err() == nil {
		time.Sleep(memoryCheckEvery)
		used := residentMemory(p.cmd.Process.Pid)
		l.mu.Lock()
		l.peak = max(l.peak, used)
		l.mu.Unlock()
		if used <= memoryLimit || !p.running() {
			continue
		}
		l.f.rec.add("%s uses %d MB of %d", p.name, used, memoryLimit)
		p.signal(syscall.SIGKILL)
		<-p.ended
		l.mu.Lock()
		l.kills++
		l.mu.Unlock()
		time.Sleep(restartDelay)
		if l.f.ctx.Err() != nil {
			return
		}
		restarted, err := l.f.start("control", l.machine)
		if err != nil {
			l.f.rec.add("restart: %v", err)
			return
		}
		p = restarted
	}
}

// residentMemory returns the memory of a process in MiB, zero if it has ended.
func residentMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
