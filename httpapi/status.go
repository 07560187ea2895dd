package httpapi

import (
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/task"
)

// StatusBackend is implemented by a Backend that reports its status for
// operators.
type StatusBackend interface {
	Status() (Status, error)
}

// Status describes an entry for operators. GET /v1/status returns it.
type Status struct {
	ID             string `json:"id"`
	Domain         string `json:"domain"`
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"why,omitempty"`
	ConfigIndex    uint64 `json:"config_index"`
	// InFlight counts submissions without an answer. Kept counts asynchronous
	// jobs whose answer is kept or still to come.
	InFlight int `json:"in_flight"`
	Kept     int `json:"kept"`
	// Waiting counts queued tasks by service.
	Waiting map[string]int `json:"waiting"`
	// Answered counts answers by state. Reasons counts answers that are not
	// complete, by reason.
	Answered map[string]uint64      `json:"answered"`
	Reasons  map[task.Reason]uint64 `json:"reasons"`
	Messages uint64                 `json:"messages"`
	Wasted   uint64                 `json:"wasted"`
	Agents   []AgentStatus          `json:"agents"`
}

// AgentStatus is an agent's status as known to an entry.
type AgentStatus struct {
	ID        string `json:"id"`
	Domain    string `json:"domain"`
	Service   string `json:"service"`
	Connected bool   `json:"connected"`
	// Evacuated is set if the agent gets no task because its failure domain is
	// evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	Slots     int  `json:"slots"`
	Credit    int  `json:"credit"`
	// Outstanding counts this entry's tasks at the agent. Others counts the
	// tasks of other entries there.
	Outstanding int `json:"outstanding"`
	Others      int `json:"others"`
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	statusBackend, ok := s.backend.(StatusBackend)
	if !ok {
		notFound("this entry has no status page").write(ctx)
		return
	}
	status, err := statusBackend.Status()
	if err != nil {
		newProblem(task.NotRun, task.ReasonBusy, err.Error()).write(ctx)
		return
	}
	status.Ready, status.NotReadyReason = s.ready()
	status.Kept = s.jobs.count()
	writeJSON(ctx, fasthttp.StatusOK, status)
}

// ready reports whether GET /readyz reports the entry as ready and, if not,
// describes the cause.
func (s *Server) ready() (bool, string) {
	if s.shuttingDown.Load() {
		return false, "the entry is shutting down"
	}
	return s.backend.Ready()
}
