package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// cases are the scripts of the review by name.
var cases = map[string]func(context.Context, *stage){
	"core-killed":  coreKilled,
	"frozen-agent": frozenAgent,
	"first-start":  firstStart,
	"capitals":     capitals,
	"damaged-byte": damagedByte,
}

// bare names the cases that start the processes themselves.
var bare = map[string]bool{"first-start": true}

// playTime is how long a case is played after it has been set up.
const playTime = 70 * time.Second

// short returns a job that is done long before its client's time is over.
func short(rng *rand.Rand) *job {
	return &job{id: newJobID(rng), tasks: 2, cpu: 500, takes: 200 * time.Millisecond, estimate: 200 * time.Millisecond, budget: 1500 * time.Millisecond}
}

// long returns a job whose tasks take longer than its client waits.
func long(rng *rand.Rand, budget time.Duration) *job {
	return &job{id: newJobID(rng), tasks: 16, cpu: 500, takes: 6 * time.Second, estimate: 900 * time.Millisecond, budget: budget}
}

// coreKilled kills the processes of all core machines at the same moment, which are back
// within a second, and freezes one machine of an executor soon after.
func coreKilled(ctx context.Context, s *stage) {
	playing, stop := context.WithTimeout(ctx, 90*time.Second)
	defer stop()
	s.traffic(playing, 10, 3, short)
	s.traffic(playing, 6, 3, func(rng *rand.Rand) *job { return long(rng, 3500*time.Millisecond) })
	for n := 0; wait(playing, 2200*time.Millisecond); n++ {
		if !s.trouble {
			continue
		}
		back := s.killCore(playing)
		time.Sleep(600 * time.Millisecond)
		s.fleet.freeze(s.fleet.of(s.fleet.sides[n%len(s.fleet.sides)], "agent"), 900*time.Millisecond)
		back.Wait()
		wait(playing, 1600*time.Millisecond)
	}
}

// killCore kills the processes of the core machines, each of which starts again within a
// second, and returns at once.
func (s *stage) killCore(ctx context.Context) *sync.WaitGroup {
	var back sync.WaitGroup
	for _, p := range s.fleet.processes {
		if s.fleet.of(p.machine, "control") == nil {
			continue
		}
		down := 400*time.Millisecond + time.Duration(s.rng.Int64N(int64(400*time.Millisecond)))
		s.record.note("%s of %s is killed, down for %s", p.role, p.machine.name, down.Round(time.Millisecond))
		p.signal(syscall.SIGKILL)
		back.Go(func() {
			<-p.ended
			time.Sleep(down)
			if ctx.Err() != nil {
				return
			}
			if err := s.fleet.launch(p); err != nil {
				s.record.note("%s of %s does not start: %v", p.role, p.machine.name, err)
			}
		})
	}
	return &back
}

// frozenAgent freezes machines of executors one after the other, while half of the orders
// at the executor get no answer and are carried out late.
func frozenAgent(ctx context.Context, s *stage) {
	playing, stop := context.WithTimeout(ctx, playTime)
	defer stop()
	s.traffic(playing, 10, 2, short)
	s.traffic(playing, 4, 2, func(rng *rand.Rand) *job { return long(rng, 1500*time.Millisecond) })
	for n := 0; wait(playing, time.Second); n++ {
		if !s.trouble {
			continue
		}
		i := n % len(s.executors)
		s.executors[i].setLate(0.5)
		s.fleet.freeze(s.fleet.of(s.fleet.sides[i], "agent"), 800*time.Millisecond)
		wait(playing, 1500*time.Millisecond)
		s.executors[i].setLate(0)
	}
}

// wait waits for a time and reports whether ctx still goes on.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
