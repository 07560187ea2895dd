package entryd

import (
	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/httpapi"
)

// Status implements httpapi.StatusBackend.
func (d *Daemon) Status() (httpapi.Status, error) {
	v, err := d.View()
	if err != nil {
		return httpapi.Status{}, err
	}
	s := httpapi.Status{
		ID:          d.opts.Self.ID,
		Domain:      d.opts.Self.Domain,
		ConfigIndex: v.ConfigIndex,
		InFlight:    v.InFlight,
		Waiting:     v.Waiting,
		Answered:    make(map[string]uint64),
		Reasons:     v.Stats.Reasons,
		Messages:    v.Stats.Sent + v.Stats.Received,
		Wasted:      v.Stats.Wasted.Total(),
		Agents:      make([]httpapi.AgentStatus, 0, len(v.Agents)),
	}
	for state, n := range v.Stats.Answered {
		s.Answered[state.String()] = n
	}
	for _, a := range v.Agents {
		s.Agents = append(s.Agents, agentStatus(a))
	}
	return s, nil
}

func agentStatus(a entry.AgentView) httpapi.AgentStatus {
	return httpapi.AgentStatus{
		ID:          a.ID,
		Domain:      a.Domain,
		Service:     a.Service,
		Connected:   a.Connected,
		Evacuated:   a.Evacuated,
		Slots:       a.Slots,
		Credit:      a.Credit,
		Outstanding: a.Outstanding,
		Others:      a.Others,
	}
}
