package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"
)

// record writes what was sent, answered and run into record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	// runs lists the starts and ends at all executors in order.
	runs []runEvent
}

// runEvent is a start or an end of a run at an executor.
type runEvent struct {
	at   time.Time
	task string
	text string
	// started is set for a start.
	started bool
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	return &record{file: file, begin: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), format, args...)
}

// line writes one line. The lock is held.
func (r *record) line(at time.Time, format string, args ...any) {
	text := fmt.Sprintf("%8.3f s  %s", at.Sub(r.begin).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(r.file, text)
	fmt.Println(text)
}

var runPattern = regexp.MustCompile(`^(\S+): run \d+ on \S+ (started|ended|stopped|stop)`)

// executor records a line of the executors' ledger.
func (r *record) executor(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if m := runPattern.FindStringSubmatch(text); m != nil {
		r.runs = append(r.runs, runEvent{at: now, task: m[1], text: text, started: m[2] == "started"})
	}
	r.line(now, "executor: %s", text)
}

// startsOf returns the starts of the tasks of a job after a time.
func (r *record) startsOf(job string, after time.Time) []runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runEvent
	for _, e := range r.runs {
		if e.started && len(e.task) > len(job) && e.task[:len(job)] == job && e.at.After(after) {
			out = append(out, e)
		}
	}
	return out
}
