// Command stage3 plays the script cases of the third review: it starts the project's
// programs as the deploy file does, on loopback addresses, beside stand-ins for clients,
// executors and the operator. It exits with 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	keep := flag.String("keep", "", "folder for the logs, kept; empty for a temporary one")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "stage3: no case %q\n", *name)
		return exitNotRun
	}
	dir := *keep
	if dir == "" {
		tmp, err := os.MkdirTemp("", "stage3-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(tmp) }()
		dir = tmp
	}
	abs, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	slot, err := freeSlot()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage3:", err)
		return exitNotRun
	}
	s := &stage{
		record: rec, trouble: os.Getenv("TROUBLE") != "0",
		fleet: newFleet(abs, dir, slot, 5, 6, rec),
		rng:   rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7)),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	setUp := s.setUp
	if bare[*name] {
		setUp = func(context.Context) error { return nil }
	}
	if err := setUp(ctx); err != nil {
		s.fleet.stop()
		rec.note("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, "stage3:", err)
		return exitNotRun
	}
	play(ctx, s)
	s.clients.Wait()
	cancel()
	s.fleet.stop()
	if s.failure != nil {
		fmt.Fprintln(os.Stderr, "stage3:", s.failure)
		return exitNotRun
	}
	rec.note("%d starts, rule broken %d times", rec.starts, rec.violations())
	fmt.Printf("%d starts, rule broken %d times\n", rec.starts, rec.violations())
	if rec.violations() > 0 {
		return exitBroken
	}
	return exitHeld
}

// stage is a running deployment with its stand-ins.
type stage struct {
	fleet     *fleet
	executors []*executor
	record    *record
	rng       *rand.Rand
	// failure is set if the case could not be played.
	failure error
	// trouble is false if the case is played without its disruption.
	trouble bool
	clients sync.WaitGroup
}

// setUp starts everything and waits until each front host serves a job.
func (s *stage) setUp(ctx context.Context) error {
	if err := s.fleet.start(); err != nil {
		return err
	}
	for i, m := range s.fleet.sides {
		x := newExecutor(fmt.Sprintf("i-%08x", s.rng.Uint32()), service, m.at(portExecutor), m.at(portOperators), uint64(i)+s.rng.Uint64(), s.record)
		s.executors = append(s.executors, x)
		go func() {
			if err := x.serve(ctx); err != nil {
				s.record.note("%v", err)
			}
		}()
	}
	setUpCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := s.fleet.publish(setUpCtx, 1, manifest(1, host)); err != nil {
		return err
	}
	for _, m := range s.fleet.fronts {
		for {
			j := &job{id: newJobID(s.rng), tasks: 1, cpu: 1000, takes: 20 * time.Millisecond, estimate: 20 * time.Millisecond, budget: 1500 * time.Millisecond}
			if s.fleet.send(setUpCtx, m, j) == http.StatusOK {
				break
			}
			if setUpCtx.Err() != nil {
				return fmt.Errorf("%s serves no job", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	// The pages start traffic 10 s after the machines.
	time.Sleep(10*time.Second - min(10*time.Second, time.Since(s.record.began)))
	return nil
}

// traffic submits jobs that draw makes, perSecond of them, until ctx ends.
func (s *stage) traffic(ctx context.Context, perSecond float64, sends int, draw func(*rand.Rand) *job) {
	s.clients.Go(func() {
		rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 11))
		var sent sync.WaitGroup
		defer sent.Wait()
		for ctx.Err() == nil {
			j, own := draw(rng), rand.New(rand.NewPCG(rng.Uint64(), 3))
			sent.Go(func() { s.fleet.submit(ctx, own, j, sends) })
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
			}
		}
	})
}
