package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines bounds the number of lines queued for writing.
	maxQueuedLines = 2048
	// maxLineBytes bounds the size of one line; longer lines are truncated.
	maxLineBytes = 4 << 10
	// maxBatchBytes bounds the lines that are written at once. A write of this size to
	// a pipe is not mixed with those of others.
	maxBatchBytes = 4 << 10
	// flushTimeout bounds how long Close waits for queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter is a writer whose Write never blocks. A bounded queue holds lines
// for the underlying writer, which may block or fail. Lines that do not fit or can't
// be written are dropped and counted, and the count is written once half of the queue
// is free.
type AsyncWriter struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	unreported uint64
	// totalDropped counts all dropped lines, including those already reported.
	totalDropped uint64
	closed       bool
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go r.run()
	return r
}

// Write queues a line, or drops it if the queue is full or the writer is closed. It
// never blocks and never returns an error.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return len(line), nil
	}
	buffered := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(buffered) < len(line) {
		buffered[len(buffered)-1] = '\n'
	}
	select {
	case r.lines <- buffered:
	default:
		r.unreported++
		r.totalDropped++
	}
	return len(line), nil
}

// UnreportedDrops returns the number of lines dropped since the count was last
// written.
func (r *AsyncWriter) UnreportedDrops() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreported
}

// TotalDropped returns the number of lines dropped since the start.
func (r *AsyncWriter) TotalDropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalDropped
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	var batch []byte
	line, ok := <-r.lines
	for ok {
		batch = append(batch[:0], line...)
		lines := 1
		for line, ok = r.queued(); line != nil && len(batch)+len(line) <= maxBatchBytes; line, ok = r.queued() {
			batch = append(batch, line...)
			lines++
		}
		r.write(batch, lines)
		if ok && line == nil {
			line, ok = <-r.lines
		}
	}
}

// queued returns the next line if there is one. For a closed writer without lines, ok
// is false.
func (r *AsyncWriter) queued() (line []byte, ok bool) {
	select {
	case line, ok = <-r.lines:
		return line, ok
	default:
		return nil, true
	}
}

func (r *AsyncWriter) write(batch []byte, lines int) {
	if _, err := r.w.Write(batch); err != nil {
		// A write error of the log can only be counted.
		r.countFailed(lines)
		return
	}
	r.reportDropped()
}

func (r *AsyncWriter) countFailed(lines int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported += uint64(lines)
	r.totalDropped += uint64(lines)
}

// reportDropped writes the number of dropped lines once half of the queue is free.
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

// Close stops accepting lines and waits up to flushTimeout for the queued lines to
// be written.
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
