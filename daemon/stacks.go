package daemon

import (
	"cmp"
	"maps"
	"slices"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/internal/stacks"
)

// maxLoggedStacks bounds the log lines of one overdue drain.
const maxLoggedStacks = 48

// logStacks logs what the goroutines of the process are doing, one line for each
// distinct stack, the most frequent first. It shows what holds up a drain.
func logStacks(l *log.Logger) {
	counts := stacks.Count()
	list := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, stack := range list[:min(len(list), maxLoggedStacks)] {
		l.Error("still running", "goroutines", counts[stack], "stack", stack)
	}
	if left := len(list) - maxLoggedStacks; left > 0 {
		l.Error("more stacks not logged", "stacks", left)
	}
}
