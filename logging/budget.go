package logging

import (
	"maps"
	"sync"
	"time"
)

const (
	// LinesPerSecond bounds the log lines of one kind that a process writes about
	// requests. At about 300 bytes a line, this is 300 kB/s for each kind.
	LinesPerSecond = 1000
	// budgetWindow is the interval over which lines are counted.
	budgetWindow = time.Second
)

// Budget is a rate limit on log lines, counted separately for each kind of line.
// It is safe for concurrent use.
type Budget struct {
	limit int

	mu         sync.Mutex
	windowEnd  time.Duration
	written    map[string]int
	suppressed map[string]int
}

// NewBudget returns a budget that allows limit lines of each kind per second.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, written: map[string]int{}, suppressed: map[string]int{}}
}

// Allow reports whether a line of the given kind may be written now. It counts
// the line as written or suppressed.
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

// Suppressed returns the number of lines of each kind suppressed since the last
// call, or nil if there were none.
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
