package daemon

import (
	"cmp"
	"maps"
	"runtime"
	"slices"
	"strings"

	"github.com/charmbracelet/log"
)

const (
	// maxLoggedStacks bounds the log lines of one overdue drain.
	maxLoggedStacks = 48
	// maxLoggedFrames is how many functions of each stack are logged, innermost
	// first.
	maxLoggedFrames = 12
	// spareGoroutines is the room for goroutines that start while they are listed.
	spareGoroutines = 64
)

// logStacks logs what the goroutines of the process are doing, one line for each
// distinct stack, the most frequent first. It shows what holds up a drain.
func logStacks(l *log.Logger) {
	counts := countStacks()
	stacks := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, stack := range stacks[:min(len(stacks), maxLoggedStacks)] {
		l.Error("still running", "goroutines", counts[stack], "stack", stack)
	}
	if left := len(stacks) - maxLoggedStacks; left > 0 {
		l.Error("more stacks not logged", "stacks", left)
	}
}

// countStacks returns the number of goroutines by stack.
func countStacks() map[string]int {
	var records []runtime.StackRecord
	n, ok := 0, false
	for !ok {
		records = make([]runtime.StackRecord, max(n, runtime.NumGoroutine())+spareGoroutines)
		n, ok = runtime.GoroutineProfile(records)
	}
	counts := make(map[string]int)
	for i := range records[:n] {
		counts[stackText(records[i].Stack())]++
	}
	return counts
}

// stackText lists the functions of a stack, innermost first.
func stackText(stack []uintptr) string {
	var names []string
	frames := runtime.CallersFrames(stack)
	for len(names) < maxLoggedFrames {
		frame, more := frames.Next()
		if frame.Function != "" {
			names = append(names, frame.Function[strings.LastIndexByte(frame.Function, '/')+1:])
		}
		if !more {
			break
		}
	}
	return strings.Join(names, " < ")
}
