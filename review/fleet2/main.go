// Command fleet2 runs a case of the second review: a small deployment of the project's
// own programs on loopback addresses, with stand-ins for clients, the operator and
// executors.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A scenario returns whether the rule was broken. With trouble unset it leaves out the
// disruption.
type scenario struct {
	fronts, sides int
	run           func(f *fleet, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"memory":   {fronts: 1, sides: 3, run: memoryCase},
	"resend":   {fronts: 2, sides: 5, run: resendCase},
	"cancel":   {fronts: 2, sides: 5, run: cancelCase},
	"host":     {fronts: 1, sides: 3, run: hostCase},
	"core":     {fronts: 1, sides: 8, run: coreCase},
	"removed":  {fronts: 1, sides: 3, run: removedCase},
	"encoding": {fronts: 1, sides: 3, run: encodingCase},
	"zero":     {fronts: 1, sides: 3, run: zeroCase},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: fleet2 SCENARIO REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runScenario(os.Args[1], os.Args[2], os.Args[3]))
}

func runScenario(name, root, dir string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no scenario", name)
		return exitNotRun
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	f, err := startFleet(root, rec, s.fronts, s.sides)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	go endEarly(f, rec)
	broken, err := s.run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errSetup):
		rec.printf("not run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}

// runTime bounds the run of a case.
const runTime = 112 * time.Second

// endEarly ends all processes if the case is told to end or takes too long.
func endEarly(f *fleet, rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		rec.printf("not run to its end: %v", s)
	case <-time.After(runTime):
		rec.printf("not run to its end within %v", runTime)
	}
	f.close()
	os.Exit(exitNotRun)
}
