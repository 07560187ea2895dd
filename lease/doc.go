// Package lease is the reducer that drives an upstream whose runs live under a
// short lease: they are started, stopped and held by calls, and all of them end
// by themselves once the upstream has not been held for the length of a lease.
//
// Calls may get no answer and still be carried out, seconds later and after
// newer ones. Every call therefore carries a fencing token, and the upstream
// does nothing for a lower one than it has seen. After a call without an answer
// the token is raised; once a hold with the raised token is answered, the lost
// call can't be carried out any more, and the lists in the answer say whether
// it was.
//
// Invariant: a run counts as ended only when the upstream has listed its end,
// when it surely never started, when its lease has surely run out, or when the
// upstream's process is another one. So nobody ever takes its room, or starts
// its task elsewhere, while it may still run.
//
// State reaches no clock, random source, goroutine, socket or file. Package
// agentd carries out the effects.
package lease
