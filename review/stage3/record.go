package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and finds tasks that run twice at the
// same time.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	running map[string][]liveRun
	broken  []string
	starts  int
}

type liveRun struct {
	executor string
	number   uint32
	since    time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now(), running: map[string][]liveRun{}}, nil
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// violation records that the rule is broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationLocked(format, args...)
}

func (r *record) violationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.line("BROKEN %s", text)
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

func (r *record) runStarted(executor, task string, number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.line("%s starts run %d of %s", executor, number, task)
	var others []string
	for _, o := range r.running[task] {
		others = append(others, fmt.Sprintf("run %d on %s for %s", o.number, o.executor, time.Since(o.since).Round(time.Millisecond)))
	}
	if len(others) > 0 {
		r.violationLocked("TWICE: %s starts run %d of %s beside %s", executor, number, task, strings.Join(others, ", "))
	}
	r.running[task] = append(r.running[task], liveRun{executor, number, time.Now()})
}

func (r *record) runEnded(executor, task string, number uint32, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("%s ends run %d of %s: %s", executor, number, task, how)
	r.running[task] = slices.DeleteFunc(r.running[task], func(o liveRun) bool { return o.executor == executor && o.number == number })
	if len(r.running[task]) == 0 {
		delete(r.running, task)
	}
}
