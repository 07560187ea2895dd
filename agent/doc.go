// Package agent implements the reducer of the process that runs beside an
// upstream. It allocates the upstream's slots and is the only component that
// starts tasks: each task id starts at most once, and never after its start
// deadline.
//
// State uses no clock, random source, goroutine, socket or file. Package agentd
// turns network input and timers into events and executes the effects.
package agent
