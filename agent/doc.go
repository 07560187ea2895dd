// Package agent is the reducer of the process that runs beside an upstream. It
// owns the upstream's slots and is the only place where a task starts: each
// task id starts at most once, and never after its start deadline.
//
// State reaches no clock, random source, goroutine, socket or file. Package
// agentd turns sockets and timers into events and carries the effects out.
package agent
