package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// The measured messages have names of typical length, task payloads of payloadBytes
// and outcome bodies of answerBytes.
const (
	payloadBytes = 64
	answerBytes  = 64
)

// sizeTaskCounts are the numbers of items per message at which sizes are measured.
var sizeTaskCounts = []int{1, 8, 64}

func peer(i int) wire.Peer {
	return wire.Peer{
		Role: wire.RoleAgent, ID: fmt.Sprintf("agent-%04d", i), Incarnation: 1<<60 + uint64(i),
		Domain: "region-1-a", Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
	}
}

func worker() *wire.Worker {
	return &wire.Worker{
		Service: "alert-core", Slots: 8, Connections: 64, Rack: "region-1-a-r01",
		Offered: task.Resources{MilliCPU: 32_000, MemoryMB: 128_000, Accelerators: 2},
	}
}

func taskID(i int) task.ID {
	return task.ID{Submission: task.NewSubmissionID(1<<60, 1<<20), Index: uint32(i)}
}

func update(tasks int) *wire.Update {
	u := &wire.Update{Seq: 1 << 20, Ack: 1 << 20, SentAt: time.Hour, Demand: wire.Demand{Waiting: 100, Rank: 1.5}}
	for i := range tasks {
		u.Tasks = append(u.Tasks, wire.Assignment{
			ID: taskID(i), Team: "night-nurses", Rank: 1.5, StartWithin: time.Second, RunWithin: 5 * time.Second,
			Spec: task.Spec{Payload: make([]byte, payloadBytes), DeclaredRunTime: 300 * time.Millisecond},
		})
	}
	return u
}

func report(outcomes int) *wire.Report {
	r := &wire.Report{Seq: 1 << 20, Ack: 1 << 20, SentAt: time.Hour, Credit: 8, Running: 8, Queued: 1, Slots: 8}
	for i := range outcomes {
		r.Outcomes = append(r.Outcomes, wire.Result{
			ID: taskID(i), WaitTime: time.Millisecond,
			Outcome: task.Outcome{State: task.Complete, Body: make([]byte, answerBytes), Ran: time.Second, Where: "agent-0001"},
		})
	}
	return r
}

func members(count int) *wire.Directory {
	d := &wire.Directory{}
	for i := range count {
		d.Upserts = append(d.Upserts, wire.Member{Peer: peer(i), Worker: worker(), ConfigIndex: 1 << 20})
	}
	return d
}

func announce() *wire.Announce {
	return &wire.Announce{From: peer(1), Seq: 1 << 20, Worker: worker(), Lease: 3 * time.Second}
}

// encodedSize returns the size of an encoded message without framing.
func encodedSize(m wire.Message) (float64, error) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return 0, fmt.Errorf("measure: encode kind %d: %w", m.Kind(), err)
	}
	return float64(len(b)), nil
}

// measureSizes measures the size of messages as a function of the number of items.
func measureSizes(r *Result) error {
	for _, kind := range []struct {
		name  string
		axis  Axis
		build func(int) wire.Message
	}{
		{"wire.update-bytes.tasks", AxisTasks, func(n int) wire.Message { return update(n) }},
		{"wire.report-bytes.tasks", AxisTasks, func(n int) wire.Message { return report(n) }},
		{"wire.directory-bytes.agents", AxisAgents, func(n int) wire.Message { return members(n) }},
		// The size of an announcement is constant.
		{"wire.announce-bytes.agents", AxisAgents, func(int) wire.Message { return announce() }},
	} {
		s := Series{Name: kind.name, Axis: kind.axis, Unit: "bytes"}
		for _, n := range sizeTaskCounts {
			size, err := encodedSize(kind.build(n))
			if err != nil {
				return err
			}
			s.Points = append(s.Points, Point{X: float64(n), Y: size})
		}
		if err := r.add(s); err != nil {
			return err
		}
	}
	return nil
}

// measureFleetReply measures the size of the admin interface's fleet reply as a
// function of the number of agents.
func measureFleetReply(r *Result) error {
	s := Series{Name: "operator.fleet-bytes.agents", Axis: AxisAgents, Unit: "bytes of JSON"}
	for _, n := range reducerAgentCounts {
		var reply adminapi.FleetReply
		for i := range n {
			p, w := peer(i), worker()
			reply.Processes = append(reply.Processes, adminapi.Process{
				Role: string(p.Role), ID: p.ID, Domain: p.Domain, Addr: p.Addr, Incarnation: p.Incarnation, Index: 1 << 20,
				Service: w.Service, Slots: w.Slots, Connections: w.Connections, Rack: w.Rack,
			})
		}
		b, err := json.Marshal(reply)
		if err != nil {
			return fmt.Errorf("measure: encode the fleet: %w", err)
		}
		s.Points = append(s.Points, Point{float64(n), float64(len(b))})
	}
	return r.add(s)
}
