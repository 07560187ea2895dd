// Package httpapi is the callers' HTTP interface. It decodes requests and jobs,
// hands them to a Backend as submissions and writes the one answer to each.
// docs/API.md describes the interface for callers.
package httpapi

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// Backend accepts submissions; the entry's driver implements it.
type Backend interface {
	// Submit hands a submission over; done is called exactly once, from any
	// goroutine, with the final answer. It may be called before Submit returns.
	Submit(s task.Submission, done func(task.Answer)) task.SubmissionID
	// Cancel asks for the end of submissions; each still gets its one answer
	// through done.
	Cancel(ids []task.SubmissionID)
	// Ready says whether new submissions are welcome and, if not, why.
	Ready() (ok bool, why string)
}

// Config bounds what the interface accepts and keeps. A zero field takes its
// default.
type Config struct {
	// MaxBody bounds the body of any request, in bytes.
	MaxBody int
	// MaxTasks bounds the tasks of one job.
	MaxTasks int
	// Public is the base URL under which callers reach this entry directly,
	// such as "http://10.0.0.7:8080". It goes into Location; empty gives a
	// relative one.
	Public string
	// KeepFor is how long the answer of a job that was not waited for is kept.
	KeepFor time.Duration
	// MaxKept bounds the jobs kept, answered or not.
	MaxKept int
	// MaxKeptBytes bounds the answers kept, in bytes.
	MaxKeptBytes int
	// MaxWait bounds one long poll.
	MaxWait time.Duration
	// DrainNotice is how long a drain keeps taking work after readiness has
	// been withdrawn, so that the platform's balancer can notice.
	DrainNotice time.Duration
	// CollectGrace is how long a drain waits for the collection of answered
	// jobs.
	CollectGrace time.Duration
	// IdleTimeout closes a connection that has been idle for so long.
	IdleTimeout time.Duration
	// ReadTimeout bounds the arrival of one whole request.
	ReadTimeout time.Duration
}

// The defaults of Config.
const (
	DefaultMaxBody      = 8 << 20
	DefaultMaxTasks     = 1000
	DefaultKeepFor      = 5 * time.Minute
	DefaultMaxKept      = 10_000
	DefaultMaxKeptBytes = 64 << 20
	DefaultMaxWait      = time.Minute
	DefaultDrainNotice  = 2 * time.Second
	DefaultCollectGrace = 5 * time.Second
	DefaultIdleTimeout  = 2 * time.Minute
	DefaultReadTimeout  = 30 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBody, DefaultMaxBody)
	setDefault(&c.MaxTasks, DefaultMaxTasks)
	setDefault(&c.KeepFor, DefaultKeepFor)
	setDefault(&c.MaxKept, DefaultMaxKept)
	setDefault(&c.MaxKeptBytes, DefaultMaxKeptBytes)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.DrainNotice, DefaultDrainNotice)
	setDefault(&c.CollectGrace, DefaultCollectGrace)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
