// Package lease implements a reducer that drives an upstream whose runs are
// covered by a short lease. Runs are started and stopped by calls. A hold is the
// call that renews the lease of all runs, acknowledges ended runs and returns
// the lists of running and ended runs. All runs end by themselves once no hold
// has arrived for the length of a lease.
//
// A call that gets no answer may still be carried out seconds later, after newer
// calls. Every call therefore carries a fencing token, and the upstream rejects
// a token lower than the highest one it has seen. After a call without an answer
// the token is raised. Once a hold with the raised token is answered, the lost
// call can no longer be carried out, and the lists in the answer show whether it
// was.
//
// Invariant: a run counts as ended only when the upstream has listed its end,
// when it certainly never started, when its lease has certainly expired, or when
// the upstream's process has been replaced by another one. Its capacity is never
// reused, and its task never started elsewhere, while it may still run.
//
// State uses no clock, random source, goroutine, socket or file. Package agentd
// carries out the effects.
package lease
