package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is a writer that never returns until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// A reader that never reads delays nobody who logs.
func TestRingNeverBlocks(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	r := NewRing(w)
	for range 3 * ringLines {
		_, err := r.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, r.Dropped())
	require.Equal(t, r.Dropped(), r.Total())
	close(w.release)
	r.Close()
	<-r.done
	require.Contains(t, w.String(), "lines dropped count=")
	require.Zero(t, r.Dropped())
	require.Positive(t, r.Total())
}

func TestRingCutsLongLines(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	close(w.release)
	r := NewRing(w)
	_, err := r.Write([]byte(strings.Repeat("x", 2*ringLineBytes) + "\n"))
	require.NoError(t, err)
	r.Close()
	<-r.done
	require.Len(t, w.String(), ringLineBytes)
	require.True(t, strings.HasSuffix(w.String(), "\n"))
}

func BenchmarkRingWrite(b *testing.B) {
	r := NewRing(io.Discard)
	defer r.Close()
	line := []byte(strings.Repeat("x", 200) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = r.Write(line)
	}
}
