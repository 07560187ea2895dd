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
	// PublicURL is the base URL under which callers reach this entry directly,
	// such as "http://10.0.0.7:8080". It goes into Location; empty gives a
	// relative one.
	PublicURL string
	// AnswerRetention is how long the answer of a job that was not waited for is kept.
	AnswerRetention time.Duration
	// MaxKeptJobs bounds the jobs kept, answered or not.
	MaxKeptJobs int
	// MaxAnswerBytes bounds the answers kept, in bytes.
	MaxAnswerBytes int
	// MaxWait bounds one long poll.
	MaxWait time.Duration
	// ShutdownDelay is how long a drain keeps taking work after readiness has
	// been withdrawn, so that the platform's balancer can notice.
	ShutdownDelay time.Duration
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
	DefaultMaxBody         = 8 << 20
	DefaultMaxTasks        = 1000
	DefaultAnswerRetention = 5 * time.Minute
	DefaultMaxKeptJobs     = 10_000
	DefaultMaxAnswerBytes  = 64 << 20
	DefaultMaxWait         = time.Minute
	DefaultShutdownDelay   = 2 * time.Second
	DefaultCollectGrace    = 5 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
	DefaultReadTimeout     = 30 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBody, DefaultMaxBody)
	setDefault(&c.MaxTasks, DefaultMaxTasks)
	setDefault(&c.AnswerRetention, DefaultAnswerRetention)
	setDefault(&c.MaxKeptJobs, DefaultMaxKeptJobs)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&c.MaxWait, DefaultMaxWait)
	setDefault(&c.ShutdownDelay, DefaultShutdownDelay)
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
