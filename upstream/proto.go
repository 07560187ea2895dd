package upstream

import "time"

// Paths of the interfaces between an agent and its upstream.
const (
	PathAnnounce = "/v1/announce"
	PathLeave    = "/v1/leave"
	PathTasks    = "/v1/tasks/"
	PathHealth   = "/v1/health"
	PathFault    = "/v1/fault"
	PathJournal  = "/v1/journal"
)

// Headers of the interface for tasks.
const (
	// HeaderRunWithin is the time left for the run, in milliseconds.
	HeaderRunWithin = "X-Run-Within-Ms"
	// HeaderTaskState is one of the Task constants, on every answer about a
	// task.
	HeaderTaskState = "X-Task-State"
)

// States of a task in HeaderTaskState.
const (
	// TaskEnded means that the answer is the task's own.
	TaskEnded = "ended"
	// TaskStopped means that the task was started and then stopped.
	TaskStopped = "stopped"
	// TaskRefused means that the task was not started and won't be.
	TaskRefused = "refused"
	// TaskRunning means that the task has started and has not ended.
	TaskRunning = "running"
	// TaskDuplicate means that the id has been started before.
	TaskDuplicate = "duplicate"
)

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Instance    string  `json:"instance"`
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Slots       uint32  `json:"slots"`
	Connections uint32  `json:"connections"`
	LeaseMS     uint32  `json:"lease_ms"`
	Offered     Offered `json:"offered"`
	Rack        string  `json:"rack,omitempty"`
	Draining    bool    `json:"draining,omitempty"`
	// CanStop says that DELETE stops a running task; CanStatus that GET tells
	// a task's state.
	CanStop   bool `json:"can_stop,omitempty"`
	CanStatus bool `json:"can_status,omitempty"`
}

// Offered is what the worker has in all.
type Offered struct {
	MilliCPU     uint32 `json:"milli_cpu"`
	MemoryMB     uint32 `json:"memory_mb"`
	Accelerators uint32 `json:"accelerators"`
}

// Departure is the body of POST /v1/leave.
type Departure struct {
	Instance string `json:"instance"`
}

// Payload is what the stand-in understands of a task.
type Payload struct {
	RunMS float64 `json:"run_ms"`
	// Work is sleep or cpu; empty takes the upstream's default.
	Work string `json:"work,omitempty"`
	Echo string `json:"echo,omitempty"`
	// Fail makes the task fail once it has run.
	Fail bool `json:"fail,omitempty"`
}

// Answer is the stand-in's answer to a task.
type Answer struct {
	ID    string  `json:"id"`
	Echo  string  `json:"echo,omitempty"`
	RanMS float64 `json:"ran_ms"`
	Error string  `json:"error,omitempty"`
}

// Fault is the body of POST /v1/fault.
type Fault struct {
	// Mode is one of the Fault constants.
	Mode string `json:"mode"`
	// Factor multiplies run times in mode slow.
	Factor float64 `json:"factor,omitempty"`
}

// The faults of the stand-in.
const (
	FaultNone = "none"
	// FaultSlow multiplies every run time.
	FaultSlow = "slow"
	// FaultFail fails every task at once.
	FaultFail = "fail"
	// FaultFreeze answers and announces nothing.
	FaultFreeze = "freeze"
	// FaultSilent makes the connections that are open now swallow all that is
	// sent on them; new ones work.
	FaultSilent = "silent"
	// FaultLeave makes the upstream leave for good.
	FaultLeave = "leave"
)

// JournalEntry is one start of a task.
type JournalEntry struct {
	ID      string        `json:"id"`
	Started time.Time     `json:"started"`
	Ran     time.Duration `json:"ran_ns"`
	// State is one of the Task constants.
	State string `json:"state"`
}
