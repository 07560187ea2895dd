package main

import (
	"fmt"
	"time"
)

const (
	// startSpread is the time from the start of the first control host to that of the
	// last one. DEPLOY.md allows 0.3 s.
	startSpread = 300 * time.Millisecond
	// lostAfter is the time from the start of the first control host to its loss, before
	// the last one has started. Its successor comes successorDelay later.
	lostAfter      = 250 * time.Millisecond
	successorDelay = time.Second
	// firstOrdersFor is how long the operator sends the first manifest, several times
	// ackMs, catchUpS and recoveryS together.
	firstOrdersFor = 60 * time.Second
)

// playFirstStart starts three control hosts for the first time and loses one of them for
// good before the last one has started. An empty one at another address takes its place.
// The rule is CONFIG: read back, the manifest has to come, which needs that one can be
// accepted.
func playFirstStart(f *fleet, trouble bool) (string, error) {
	var machines []*machine
	for i := range fronts {
		machines = append(machines, f.front(i))
	}
	lost := make(chan struct{})
	begun := time.Now()
	for i, m := range machines {
		m.seeds = controlAddresses(machines)
		time.Sleep(time.Until(begun.Add(time.Duration(i) * startSpread / (fronts - 1))))
		p, err := f.start("control", m)
		if err != nil {
			return "", err
		}
		if i == 0 && trouble {
			time.AfterFunc(lostAfter, func() { p.kill(); close(lost) })
		}
	}
	if trouble {
		<-lost
		time.Sleep(successorDelay)
		successor := f.front(fronts)
		machines = append(machines[1:], successor)
		successor.seeds = controlAddresses(machines)
		if _, err := f.start("control", successor); err != nil {
			return "", err
		}
	}
	for n := 0; time.Since(begun) < firstOrdersFor; n++ {
		if f.putManifest(machines[n%fronts], manifest(1)) {
			return "", nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	newest, _ := f.getManifest(machines[0])
	return fmt.Sprintf("CONFIG: no control host has accepted the first manifest in %s; read back: %d (-1: none came)", firstOrdersFor, newest), nil
}
