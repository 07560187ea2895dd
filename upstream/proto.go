package upstream

import "time"

// Paths of the HTTP interfaces between an agent and its upstream. The agent serves
// PathAnnounce and PathLeave, the upstream serves the others. PathFault and
// PathJournal are for tests.
const (
	PathAnnounce = "/v1/announce"
	PathLeave    = "/v1/leave"
	PathTasks    = "/v1/tasks/"
	PathHealth   = "/v1/health"
	PathFault    = "/v1/fault"
	PathJournal  = "/v1/journal"
)

// Headers of the task interface.
const (
	// HeaderRunWithin is the time left for the run, in milliseconds.
	HeaderRunWithin = "X-Run-Within-Ms"
	// HeaderTaskState is one of the Task constants. Answers about a known task
	// carry it.
	HeaderTaskState = "X-Task-State"
)

// States of a task in HeaderTaskState.
const (
	// TaskEnded means that the task has ended and the answer is its result.
	TaskEnded = "ended"
	// TaskStopped means that the task was stopped after it had started.
	TaskStopped = "stopped"
	// TaskRefused means that the task was not started and won't be.
	TaskRefused = "refused"
	// TaskRunning means that the task has started and not yet ended.
	TaskRunning = "running"
	// TaskDuplicate means that a task with this id has already been started.
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
	// CanStop reports whether DELETE stops a running task, CanStatus whether GET
	// returns a task's state.
	CanStop   bool `json:"can_stop,omitempty"`
	CanStatus bool `json:"can_status,omitempty"`
}

// Offered is the total capacity of the upstream.
type Offered struct {
	MilliCPU     uint32 `json:"milli_cpu"`
	MemoryMB     uint32 `json:"memory_mb"`
	Accelerators uint32 `json:"accelerators"`
}

// Departure is the body of POST /v1/leave.
type Departure struct {
	Instance string `json:"instance"`
}

// Payload is the payload of a task. Unknown fields are ignored.
type Payload struct {
	RunMS float64 `json:"run_ms"`
	// Work is WorkSleep or WorkCPU. If empty, the upstream's default applies.
	Work string `json:"work,omitempty"`
	Echo string `json:"echo,omitempty"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail,omitempty"`
}

// Answer is the result of a task.
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

// The faults that can be injected.
const (
	FaultNone = "none"
	// FaultSlow multiplies every run time.
	FaultSlow = "slow"
	// FaultFail makes every task fail immediately.
	FaultFail = "fail"
	// FaultFreeze suspends all answers, except to PathFault, and all
	// announcements.
	FaultFreeze = "freeze"
	// FaultSilent makes the connections that are open now discard all data, in
	// both directions. New connections work.
	FaultSilent = "silent"
	// FaultLeave makes the upstream deregister, finish its running tasks and shut
	// down. It can't be undone.
	FaultLeave = "leave"
)

// JournalEntry records one start of a task.
type JournalEntry struct {
	ID      string    `json:"id"`
	Started time.Time `json:"started"`
	// Ran is the run time; it is zero until the task has ended.
	Ran time.Duration `json:"ran_ns"`
	// State is one of the Task constants.
	State string `json:"state"`
}
