// Command harness plays the scripted cases of the review: it starts the project's
// programs as separate processes on loopback addresses, with the settings of the
// deploy templates, beside stand-ins for clients, upstreams and operators.
//
// It exits with 0 if the rule of the case held, 1 if it was broken and 2 if the case
// could not be played.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// troubleOff is the value of the environment variable TROUBLE that plays a case
// without its disruption.
const troubleOff = "0"

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// scenario plays a case and returns how the rule was broken, empty if it held.
type scenario func(f *fleet, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"odd-report": playOddReport,
	"repair":     playRepair,
	"reborn":     playReborn,
	"lost-locks": playLostLocks,
	"cancel":     playCancel, "history": playHistory,
	"first-start": playFirstStart,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const argCount = 3
	if len(args) != argCount || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY RECORD")
		return exitUnknown
	}
	broken, err := play(args[0], args[1], args[2], os.Getenv("TROUBLE") != troubleOff)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		return exitUnknown
	case broken != "":
		fmt.Println("broken:", broken)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

var errTimeout = errors.New("the case took too long")

func play(name, repository, recordPath string, trouble bool) (string, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return "", err
	}
	defer rec.close()
	f, err := newFleet(repository, rec)
	if err != nil {
		return "", err
	}
	defer f.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[name](f, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		rec.add("result: broken=%q error=%v", r.broken, r.err)
		return r.broken, r.err
	case <-time.After(maxRunTime):
		rec.add("result: %v", errTimeout)
		return "", errTimeout
	}
}
