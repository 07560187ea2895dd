// Package upstream is a stand-in for a service's own process: it announces
// itself to the agent beside it and runs tasks as sleeps or processor work. It
// can be made slow, failing, frozen or silent, and keeps a journal of the tasks
// that it started.
package upstream
