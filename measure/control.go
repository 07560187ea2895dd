package measure

import (
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/wire"
)

// machineChangeCounts are the numbers of configuration changes applied to one
// replicated state machine.
var machineChangeCounts = []int{10, 50, 200, 3000}

// machineClaimCounts are the numbers of idempotency keys held by one replicated
// state machine.
var machineClaimCounts = []int{100, 1000, 10_000}

const (
	// configTeams is the number of teams in the test configuration.
	configTeams   = 260
	renewalRounds = 50
)

// measureDirectory measures the memory of a control host's directory and the cost
// of announcements as functions of the number of agents.
func measureDirectory(r *Result) error {
	memory := Series{Name: "control.directory-bytes.agents", Axis: AxisAgents, Unit: "bytes"}
	cost := Series{Name: "control.renewal-ns.agents", Axis: AxisAgents, Unit: "ns an announcement"}
	for _, n := range reducerAgentCounts {
		before := heapBytes()
		now := time.Duration(0)
		d := directory.NewReducer(now)
		announceAll(d, n, 1, now)
		memory.Points = append(memory.Points, Point{float64(n), heapBytes() - before})
		start := time.Now()
		for i := range renewalRounds {
			now += time.Second
			announceAll(d, n, uint64(i)+2, now)
		}
		cost.Points = append(cost.Points, Point{float64(n), float64(time.Since(start)) / float64(n*renewalRounds)})
		runtime.KeepAlive(d)
	}
	if err := r.add(memory); err != nil {
		return err
	}
	return r.add(cost)
}

func announceAll(d *directory.Reducer, agents int, seq uint64, now time.Duration) {
	for i := range agents {
		m := &wire.Announce{From: peer(i), Seq: seq, Worker: worker(), Lease: 3 * time.Second}
		ev := directory.Event{Announce: &directory.ReceivedAnnouncement{Conn: directory.ConnID(i + 1), Msg: m, Index: 1}}
		d.Step(now, ev, nil)
	}
}

// configSections returns a configuration of configTeams teams. One team's weight
// depends on change, so that each change yields a different configuration.
func configSections(change int) []wire.ConfigSection {
	sections := []wire.ConfigSection{{Name: "service " + service, Keys: []wire.ConfigPair{
		{Key: "max-tasks", Value: "140"}, {Key: "deadline", Value: "5s"}, {Key: "max-deadline", Value: "60s"},
	}}}
	for i := range configTeams {
		weight := 1
		if i == change%configTeams {
			weight = 2 + change/configTeams
		}
		sections = append(sections, wire.ConfigSection{
			Name: fmt.Sprintf("team team-%03d", i),
			Keys: []wire.ConfigPair{{Key: "weight", Value: fmt.Sprint(weight)}, {Key: "rate", Value: "100"}},
		})
	}
	return sections
}

// measureMachine measures the replicated state as a function of the number of
// configuration changes.
func measureMachine(r *Result) error {
	memory := Series{Name: "control.machine-bytes.changes", Axis: AxisChanges, Unit: "bytes"}
	cost := Series{Name: "control.apply-us.changes", Axis: AxisChanges, Unit: "us a change, mean"}
	command := Series{Name: "control.command-bytes.changes", Axis: AxisChanges, Unit: "bytes a change"}
	for _, n := range machineChangeCounts {
		before := heapBytes()
		m := control.NewMachine(func(uint64) {})
		start := time.Now()
		size, err := applyChanges(m, n)
		if err != nil {
			return err
		}
		x := float64(n)
		cost.Points = append(cost.Points, Point{x, float64(time.Since(start).Microseconds()) / x})
		memory.Points = append(memory.Points, Point{x, heapBytes() - before})
		command.Points = append(command.Points, Point{x, float64(size) / x})
		runtime.KeepAlive(m)
	}
	for _, s := range []Series{memory, cost, command} {
		if err := r.add(s); err != nil {
			return err
		}
	}
	return nil
}

// measureClaims measures the replicated state as a function of the number of
// idempotency keys.
func measureClaims(r *Result) error {
	s := Series{Name: "control.machine-bytes.claims", Axis: AxisClaims, Unit: "bytes"}
	for _, n := range machineClaimCounts {
		m := control.NewMachine(func(uint64) {})
		if _, err := applyChanges(m, 1); err != nil {
			return err
		}
		before := heapBytes()
		if err := applyClaims(m, n); err != nil {
			return err
		}
		s.Points = append(s.Points, Point{float64(n), heapBytes() - before})
		runtime.KeepAlive(m)
	}
	return r.add(s)
}

func applyClaims(m *control.Machine, n int) error {
	for i := range n {
		cmd := &control.Command{At: int64(i), Claim: &wire.Claim{
			Request: uint64(i), Team: fmt.Sprintf("team-%03d", i%configTeams), Service: service,
			Key: fmt.Sprintf("payout-2026-q4-%08d", i), BodyDigest: uint64(i),
			Owner: taskID(i).Submission, Keep: time.Hour,
		}}
		b, err := cmd.Encode()
		if err != nil {
			return fmt.Errorf("measure: encode claim %d: %w", i, err)
		}
		reply, err := control.DecodeReply(m.Apply(uint64(i)+2, b))
		if err != nil {
			return fmt.Errorf("measure: apply claim %d: %w", i, err)
		}
		if reply.Claim == nil || reply.Claim.State != wire.ClaimGranted {
			return fmt.Errorf("measure: claim %d was not granted: %+v", i, reply.Claim)
		}
	}
	return nil
}

// applyChanges applies n changes and returns the total size of their encoded
// commands.
func applyChanges(m *control.Machine, n int) (int, error) {
	size, base := 0, uint64(0)
	for i := range n {
		cmd := &control.Command{At: int64(i), Apply: &control.Apply{
			Op: fmt.Sprintf("op-%d", i), Base: base,
			By: control.Operator{Name: "operator-1", Addr: "10.0.0.1:50000"}, Sections: configSections(i + 1),
		}}
		b, err := cmd.Encode()
		if err != nil {
			return 0, fmt.Errorf("measure: encode change %d: %w", i, err)
		}
		size += len(b)
		reply, err := control.DecodeReply(m.Apply(uint64(i)+1, b))
		if err != nil {
			return 0, fmt.Errorf("measure: apply change %d: %w", i, err)
		}
		if reply.Change == nil || !reply.Change.Accepted {
			return 0, errors.New("measure: a configuration change was rejected: " + fmt.Sprintf("%+v", reply.Change))
		}
		base = reply.Change.Index
	}
	return size, nil
}
