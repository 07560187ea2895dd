package logging

import (
	"maps"
	"sync"
	"time"
)

const (
	// LinesPerSecond bounds the lines of one kind that one process writes about
	// requests: at some 300 bytes a line, 300 kB a second for each kind.
	LinesPerSecond = 1000
	// budgetWindow is the time over which lines are counted.
	budgetWindow = time.Second
)

// Budget bounds how many lines of each kind are written. It is safe for
// concurrent use.
type Budget struct {
	limit int

	mu         sync.Mutex
	windowEnd  time.Duration
	written    map[string]int
	suppressed map[string]int
}

// NewBudget returns a budget of so many lines of each kind a second.
func NewBudget(lines int) *Budget {
	return &Budget{limit: lines, written: map[string]int{}, suppressed: map[string]int{}}
}

// Allow reports whether a line of a kind may be written now, and counts it.
func (b *Budget) Allow(kind string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now >= b.windowEnd {
		b.windowEnd = now + budgetWindow
		clear(b.written)
	}
	if b.written[kind] >= b.limit {
		b.suppressed[kind]++
		return false
	}
	b.written[kind]++
	return true
}

// Suppressed returns how many lines of each kind were left out since the last call,
// nil if none were.
func (b *Budget) Suppressed() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.suppressed) == 0 {
		return nil
	}
	out := maps.Clone(b.suppressed)
	clear(b.suppressed)
	return out
}
