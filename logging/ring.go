package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// ringLines bounds the lines that wait to be written.
	ringLines = 2048
	// ringLineBytes bounds one line; longer ones are cut.
	ringLineBytes = 4 << 10
	// flushWithin bounds the wait for the last lines of a process.
	flushWithin = 200 * time.Millisecond
)

// Ring is a writer that never blocks: lines wait in a bounded buffer for the
// writer below, which may stand still. What does not fit is dropped and
// counted, and the count is written once there is room.
type Ring struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped uint64
	// total counts all lines dropped, also those already reported.
	total  uint64
	closed bool
}

// NewRing returns a ring over w.
func NewRing(w io.Writer) *Ring {
	r := &Ring{w: w, lines: make(chan []byte, ringLines), done: make(chan struct{})}
	go r.run()
	return r
}

// Write queues a line or drops it. It never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return len(line), nil
	}
	kept := append([]byte(nil), line[:min(len(line), ringLineBytes)]...)
	if len(kept) < len(line) {
		kept[len(kept)-1] = '\n'
	}
	select {
	case r.lines <- kept:
	default:
		r.dropped++
		r.total++
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last report of it.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Total returns how many lines were dropped since the start.
func (r *Ring) Total() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

func (r *Ring) run() {
	defer close(r.done)
	for line := range r.lines {
		// Nobody is left to be told of an error of the log itself.
		_, _ = r.w.Write(line)
		r.report()
	}
}

// report writes how many lines were dropped, once half of the buffer is free.
func (r *Ring) report() {
	r.mu.Lock()
	n := r.dropped
	if n == 0 || len(r.lines) > ringLines/2 {
		r.mu.Unlock()
		return
	}
	r.dropped = 0
	r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "WARN logging: lines dropped count=%d\n", n)
}

// Close writes what waits, as far as the writer takes it in time.
func (r *Ring) Close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	close(r.lines)
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-time.After(flushWithin):
	}
}
