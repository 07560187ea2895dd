package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockingWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// A blocked underlying writer must not block writes; excess lines are dropped and
// counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	r := NewAsyncWriter(w)
	for range 3 * maxQueuedLines {
		_, err := r.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, r.UnreportedDrops())
	require.Equal(t, r.UnreportedDrops(), r.TotalDropped())
	close(w.release)
	r.Close()
	<-r.done
	require.Contains(t, w.String(), "lines dropped count=")
	require.Zero(t, r.UnreportedDrops())
	require.Positive(t, r.TotalDropped())
}

func TestAsyncWriterTruncatesLongLines(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	close(w.release)
	r := NewAsyncWriter(w)
	_, err := r.Write([]byte(strings.Repeat("x", 2*maxLineBytes) + "\n"))
	require.NoError(t, err)
	r.Close()
	<-r.done
	require.Len(t, w.String(), maxLineBytes)
	require.True(t, strings.HasSuffix(w.String(), "\n"))
}

func BenchmarkAsyncWriterWrite(b *testing.B) {
	r := NewAsyncWriter(io.Discard)
	defer r.Close()
	line := []byte(strings.Repeat("x", 200) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = r.Write(line)
	}
}

// brokenWriter fails like a pipe whose reader has gone.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Lines that can't be written, because the reader of the log has gone, are counted as
// dropped.
func TestAsyncWriterCountsFailedWrites(t *testing.T) {
	r := NewAsyncWriter(brokenWriter{})
	const lines = 3
	for range lines {
		_, err := r.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	r.Close()
	<-r.done
	require.EqualValues(t, lines, r.TotalDropped())
}

// countingWriter records the sizes of writes once it is released.
type countingWriter struct {
	blockingWriter
	sizes []int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.blockingWriter.Write(p)
	c.sizes = append(c.sizes, n)
	return n, err
}

// Queued lines are written together, whole and in their order, in bounded writes.
func TestAsyncWriterWritesQueuedLinesTogether(t *testing.T) {
	w := &countingWriter{blockingWriter: blockingWriter{release: make(chan struct{})}}
	r := NewAsyncWriter(w)
	var want strings.Builder
	for i := range 100 {
		line := strings.Repeat(string(rune('a'+i%26)), 100+i) + "\n"
		want.WriteString(line)
		_, err := r.Write([]byte(line))
		require.NoError(t, err)
	}
	close(w.release)
	r.Close()
	<-r.done
	require.Equal(t, want.String(), w.String())
	require.Less(t, len(w.sizes), 10)
	for _, n := range w.sizes {
		require.LessOrEqual(t, n, maxBatchBytes)
	}
}
