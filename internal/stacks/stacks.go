// Package stacks describes the stacks of goroutines in single lines for the log.
package stacks

import (
	"fmt"
	"runtime"
	"strings"
)

const (
	// maxFrames is how many functions of each stack are listed, innermost first.
	maxFrames = 12
	// spareGoroutines is the room for goroutines that start while they are listed.
	spareGoroutines = 64
)

// Count returns the number of goroutines by stack.
func Count() map[string]int {
	var records []runtime.StackRecord
	n, ok := 0, false
	for !ok {
		records = make([]runtime.StackRecord, max(n, runtime.NumGoroutine())+spareGoroutines)
		n, ok = runtime.GoroutineProfile(records)
	}
	counts := make(map[string]int)
	for i := range records[:n] {
		counts[text(records[i].Stack())]++
	}
	return counts
}

// text lists the functions of a stack, innermost first.
func text(stack []uintptr) string {
	var names []string
	frames := runtime.CallersFrames(stack)
	for len(names) < maxFrames {
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

// PanicError is a recovered panic.
type PanicError struct {
	// Step is what was being done.
	Step  string
	Value any
	Stack string
}

// Error returns the step, the value and the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("%s: panic: %v, stack: %s", e.Step, e.Value, e.Stack)
}

// Recovered returns the error for a value that recover returned. It must be called
// from the deferred function.
func Recovered(step string, value any) error {
	var stack [2 * maxFrames]uintptr
	// The first frames are those of Callers, this function, the deferred one and the
	// runtime's panic.
	const skip = 4
	n := runtime.Callers(skip, stack[:])
	return &PanicError{Step: step, Value: value, Stack: text(stack[:n])}
}
