// Package httpapi implements the HTTP API for callers. It decodes requests and
// jobs, passes them to a Backend as submissions and writes one answer to each.
// docs/API.md describes the API for callers.
package httpapi

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/task"
)

// Backend accepts submissions. The entry daemon implements it.
type Backend interface {
	// Submit starts a submission. It calls done exactly once, from any
	// goroutine, with the final answer, possibly before Submit returns.
	Submit(s task.Submission, done func(task.Answer)) task.SubmissionID
	// Cancel requests the cancellation of submissions. Each of them still gets
	// its one answer through done, with the reason given here.
	Cancel(ids []task.SubmissionID, reason task.Reason)
	// Ready reports whether the backend accepts new submissions and, if not,
	// describes the cause.
	Ready() (ok bool, detail string)
}

// Config holds the limits and time-outs of a Server. A zero field takes its
// default.
type Config struct {
	// MaxBody bounds the size of a request body, in bytes.
	MaxBody int
	// MaxTasks bounds the number of tasks in one job.
	MaxTasks int
	// PublicURL is the base URL under which callers reach this entry directly,
	// such as "http://10.0.0.7:8080". It prefixes the Location header; if it is
	// empty, Location is relative.
	PublicURL string
	// AnswerRetention is how long the answer of an asynchronous job is kept.
	AnswerRetention time.Duration
	// MaxKeptJobs bounds the number of asynchronous jobs kept, answered or not.
	MaxKeptJobs int
	// MaxAnswerBytes bounds the total size of the answers kept, in bytes.
	MaxAnswerBytes int
	// MaxWait bounds the duration of one long poll.
	MaxWait time.Duration
	// ShutdownDelay is how long a drain still accepts submissions after
	// readiness is withdrawn, so that the platform's load balancer can react.
	ShutdownDelay time.Duration
	// CollectGrace is how long a drain waits for callers to collect answered
	// jobs.
	CollectGrace time.Duration
	// IdleTimeout is the idle time after which a connection is closed.
	IdleTimeout time.Duration
	// ReadTimeout bounds the time to receive one complete request.
	ReadTimeout time.Duration
	// Gate bounds the connections and bodies, possibly with those of other servers.
	Gate *httpserve.Gate
	Log  *log.Logger
}

// Defaults of the Config fields.
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
	// DefaultConnections and DefaultBodyBytes are the limits of the default Gate.
	DefaultConnections = 2000
	DefaultBodyBytes   = 16 << 20
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
	setDefault(&c.Log, log.Default())
	if c.Gate == nil {
		c.Gate = httpserve.NewGate("callers", httpserve.Limits{Connections: DefaultConnections, BodyBytes: DefaultBodyBytes}, nil, c.Log)
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
