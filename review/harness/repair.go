package main

import (
	"fmt"
	"os"
	"time"
)

const (
	repairSides = 2
	// catchUpTime is how long a new control host counts as lost after its start, and
	// recoveryTime how long service may be suspended once all machines are back.
	catchUpTime  = 4 * time.Second
	recoveryTime = 12 * time.Second
	// successorHead is how long the new control host has run when the old one gets
	// SIGTERM; more than twice catchUpTime.
	successorHead = 10 * time.Second
	// nextLoss is the time from the end of the old control host to the loss of the
	// second disk.
	nextLoss = time.Second
	// ordersFor is how long the operator sends orders after the loss, and readBackFor
	// how long it reads the manifest back at the end, more than contactMs.
	ordersFor   = catchUpTime + recoveryTime + 24*time.Second
	readBackFor = 5 * time.Second
)

// playRepair replaces one of three control hosts as planned: the new one runs for ten
// seconds before the old one gets SIGTERM and does not come back. One second after that,
// a second control host loses its disk and comes back at its address. Three control
// hosts then run, and no more than one disk was lost. The rule is CONFIG: read back at
// the end, the manifest has to come.
func playRepair(f *fleet, trouble bool) (string, error) {
	d, err := f.deploy(repairSides)
	if err != nil {
		return "", err
	}
	acked, machines := 1, d.fronts
	if trouble {
		if machines, err = f.replaceAndLoseDisk(d); err != nil {
			return "", err
		}
	}
	lastAck := time.Now()
	sent := time.Now()
	for version := 2; time.Since(sent) < ordersFor; version++ {
		if f.putManifest(machines[version%len(machines)], manifest(version)) {
			acked, lastAck = version, time.Now()
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.rec.add("the newest acknowledged version is %d, acknowledged %s ago", acked, time.Since(lastAck).Round(time.Second))
	newest, readUntil := -1, time.Now().Add(readBackFor)
	for i := 0; time.Now().Before(readUntil); i++ {
		version, _ := f.getManifest(machines[i%len(machines)])
		newest = max(newest, version)
		time.Sleep(100 * time.Millisecond)
	}
	switch {
	case newest < 0:
		return fmt.Sprintf("CONFIG: %s after all control hosts were back, the manifest does not come; version %d was acknowledged", ordersFor, acked), nil
	case newest < acked:
		return fmt.Sprintf("CONFIG: read back, the manifest has version %d, but %d was acknowledged", newest, acked), nil
	}
	return "", nil
}

// replaceAndLoseDisk returns the front machines that are left.
func (f *fleet) replaceAndLoseDisk(d *deployment) ([]*machine, error) {
	added := f.front(fronts)
	added.seeds = controlAddresses(d.fronts)
	if _, err := f.start("control", added); err != nil {
		return nil, err
	}
	if _, err := f.start("entry", added); err != nil {
		return nil, err
	}
	time.Sleep(successorHead)
	removed, wiped := 0, 1
	f.rec.add("%s is removed for good", d.fronts[removed].name)
	go d.entries[removed].terminate()
	d.controls[removed].terminate()
	time.Sleep(nextLoss)
	machines := append([]*machine{added}, d.fronts[1:]...)
	m := d.fronts[wiped]
	f.rec.add("%s loses its disk", m.name)
	d.controls[wiped].kill()
	if err := os.RemoveAll(f.dataDir(m)); err != nil {
		return nil, fmt.Errorf("empty a data folder: %w", err)
	}
	m.bootstrap, m.seeds = false, controlAddresses(machines)
	if _, err := f.start("control", m); err != nil {
		return nil, err
	}
	return machines, nil
}
