package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// cases are the scripts of the review by name.
var cases = map[string]func(context.Context, *stage){
	"frozen-agent": frozenAgent,
}

// frozenAgent freezes machines of executors one after the other, while half of the orders
// get no answer and are carried out late. Some jobs take longer than their clients wait.
func frozenAgent(ctx context.Context, s *stage) {
	playing, stop := context.WithTimeout(ctx, 70*time.Second)
	defer stop()
	s.traffic(playing, 10, 2, func(rng *rand.Rand) *job {
		return &job{id: newJobID(rng), tasks: 2, cpu: 1000, takes: 200 * time.Millisecond, estimate: 200 * time.Millisecond, budget: 1500 * time.Millisecond}
	})
	s.traffic(playing, 4, 2, func(rng *rand.Rand) *job {
		return &job{id: newJobID(rng), tasks: 16, cpu: 1000, takes: 6 * time.Second, estimate: 900 * time.Millisecond, budget: 1500 * time.Millisecond}
	})
	for n := 0; playing.Err() == nil; n++ {
		if s.trouble {
			i := n % len(s.executors)
			s.executors[i].setLate(0.5)
			s.fleet.freeze(s.fleet.of(s.fleet.sides[i], "agent"), 800*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			s.executors[i].setLate(0)
		}
		select {
		case <-playing.Done():
		case <-time.After(time.Second):
		}
	}
}
