package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// lostLocksEntries is the number of front machines without a disk, lostLocksSides
	// that of side machines, one more than in psrc-tray.
	lostLocksEntries = 4
	lostLocksSides   = 12
	lostLocksJobs    = 10
	lostLocksTasks   = 2
	// lostLocksRunTime is the time that the tasks take, lostLocksEstimate what their
	// client expects.
	lostLocksRunTime  = 2500 * time.Millisecond
	lostLocksEstimate = 900 * time.Millisecond
	// killAfter is the time from the submission to the kill of killedSides agents and of
	// the entry that holds the jobs; restartAfter is the time until they run again.
	killAfter    = 400 * time.Millisecond
	killedSides  = 8
	restartAfter = 300 * time.Millisecond
	// freezeAfter is the time from the kill to the freeze of frozenSides other machines
	// for freezeFor.
	freezeAfter = 600 * time.Millisecond
	frozenSides = 2
	freezeFor   = 2 * time.Second
	// resendAfter is retransmitMs: the time after which a client whose channel broke
	// sends its job again.
	resendAfter = 1300 * time.Millisecond
	// lostLocksRest is the time that the fleet has to settle between two rounds.
	lostLocksRest   = 4 * time.Second
	lostLocksRounds = 12
)

// playLostLocks kills half of the machines that are not counted at the same moment, an
// entry with jobs in flight among them, and lets two further machines stand still a
// little later. The clients of the entry send their jobs again to another one. The rule
// is TWICE.
func playLostLocks(f *fleet, trouble bool) (string, error) {
	d, err := f.deploy(lostLocksSides)
	if err != nil {
		return "", err
	}
	var machines []*machine
	var entries []*process
	for i := range lostLocksEntries {
		m := f.front(fronts + i)
		m.seeds = controlAddresses(d.fronts)
		p, err := f.start("entry", m)
		if err != nil {
			return "", err
		}
		machines, entries = append(machines, m), append(entries, p)
	}
	for _, m := range machines {
		if err := f.awaitServing(m); err != nil {
			return "", err
		}
	}
	for round := range lostLocksRounds {
		f.rec.add("round %d", round)
		a := round % lostLocksEntries
		if err := f.playLostLocksRound(d, machines, entries, a, trouble); err != nil {
			return "", err
		}
		if broken := f.concurrentRuns(); broken != "" {
			return broken, nil
		}
		time.Sleep(lostLocksRest)
	}
	return "", nil
}

// playLostLocksRound plays one round, in which the entry with the number a is killed.
func (f *fleet) playLostLocksRound(d *deployment, machines []*machine, entries []*process, a int, trouble bool) error {
	var jobs sync.WaitGroup
	other := machines[(a+1)%len(machines)]
	for range lostLocksJobs {
		jobs.Go(func() {
			j := f.submitJob(machines[a], lostLocksTasks, lostLocksRunTime, lostLocksEstimate, "")
			if j.status == 0 {
				time.Sleep(resendAfter)
				f.submitJob(other, lostLocksTasks, lostLocksRunTime, lostLocksEstimate, j.id)
			}
		})
	}
	time.Sleep(killAfter)
	if trouble {
		if err := f.killAndFreeze(d, machines, entries, a); err != nil {
			return err
		}
	}
	jobs.Wait()
	return nil
}

func (f *fleet) killAndFreeze(d *deployment, machines []*machine, entries []*process, a int) error {
	order := rand.Perm(len(d.sides))
	killed, others := order[:killedSides], order[killedSides:]
	var ends sync.WaitGroup
	ends.Go(entries[a].kill)
	for _, i := range killed {
		ends.Go(d.agents[i].kill)
	}
	ends.Wait()
	time.Sleep(restartAfter)
	var err error
	if entries[a], err = f.start("entry", machines[a]); err != nil {
		return fmt.Errorf("restart an entry: %w", err)
	}
	for _, i := range killed {
		if d.agents[i], err = f.start("agent", d.sides[i]); err != nil {
			return fmt.Errorf("restart an agent: %w", err)
		}
	}
	time.Sleep(freezeAfter - restartAfter)
	for _, i := range others[:frozenSides] {
		d.agents[i].signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeFor)
	for _, i := range others[:frozenSides] {
		d.agents[i].signal(syscall.SIGCONT)
	}
	return nil
}
