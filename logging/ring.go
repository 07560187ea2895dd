package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// maxLineBytes bounds one line; longer ones are cut.
	maxLineBytes = 4 << 10
	// flushTimeout bounds the wait for the last lines of a process.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter is a writer that never blocks: lines wait in a bounded buffer for the
// writer below, which may stand still. What does not fit is dropped and
// counted, and the count is written once there is room.
type AsyncWriter struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	unreported uint64
	// totalDropped counts all lines dropped, also those already reported.
	totalDropped uint64
	closed       bool
}

// NewAsyncWriter returns a ring over w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go r.run()
	return r
}

// Write queues a line or drops it. It never blocks and never fails.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return len(line), nil
	}
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(kept) < len(line) {
		kept[len(kept)-1] = '\n'
	}
	select {
	case r.lines <- kept:
	default:
		r.unreported++
		r.totalDropped++
	}
	return len(line), nil
}

// UnreportedDrops returns how many lines were dropped since the last report of it.
func (r *AsyncWriter) UnreportedDrops() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreported
}

// TotalDropped returns how many lines were dropped since the start.
func (r *AsyncWriter) TotalDropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalDropped
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	for line := range r.lines {
		// Nobody is left to be told of an error of the log itself.
		_, _ = r.w.Write(line)
		r.reportDropped()
	}
}

// reportDropped writes how many lines were dropped, once half of the buffer is free.
func (r *AsyncWriter) reportDropped() {
	r.mu.Lock()
	n := r.unreported
	if n == 0 || len(r.lines) > maxQueuedLines/2 {
		r.mu.Unlock()
		return
	}
	r.unreported = 0
	r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "WARN logging: lines dropped count=%d\n", n)
}

// Close writes what waits, as far as the writer takes it in time.
func (r *AsyncWriter) Close() {
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
	case <-time.After(flushTimeout):
	}
}
