package measure

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// roleUsage is the usage per process for each role, as the mean over the processes
// of the role. controlMax is the control host that used the most CPU time.
type roleUsage struct {
	control, controlMax, entry, agent usage
}

// snapshot is the usage of every process since its start, except for the entries
// after the first.
type snapshot struct {
	takenAt time.Time
	control []usage
	entry   usage
	agents  []usage
}

func (f *testFleet) snapshot() (snapshot, error) {
	s := snapshot{takenAt: time.Now()}
	var err error
	if s.control, err = f.usages(f.control); err != nil {
		return s, err
	}
	if s.agents, err = f.usages(f.agents); err != nil {
		return s, err
	}
	s.entry, err = f.entry.usage(f.metricsClient)
	return s, err
}

func (f *testFleet) usages(processes []*process) ([]usage, error) {
	var all []usage
	for _, p := range processes {
		u, err := p.usage(f.metricsClient)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// since returns the total usage of each role between before and s.
func (s *snapshot) since(before *snapshot) roleUsage {
	var r roleUsage
	for i, u := range s.control {
		d := u.since(before.control[i])
		r.control = r.control.plus(d.divide(float64(len(s.control))))
		if d.cpuSeconds > r.controlMax.cpuSeconds {
			r.controlMax = d
		}
	}
	for i := range before.agents {
		r.agent = r.agent.plus(s.agents[i].since(before.agents[i]).divide(float64(len(before.agents))))
	}
	r.entry = s.entry.since(before.entry)
	return r
}

// rates returns the usage per second. The memory is not divided.
func (r roleUsage) rates(seconds float64) roleUsage {
	perSecond := func(u usage) usage {
		m := u.memory
		u = u.divide(seconds)
		u.memory = m
		return u
	}
	return roleUsage{perSecond(r.control), perSecond(r.controlMax), perSecond(r.entry), perSecond(r.agent)}
}

// measureDuring returns the usage of the fleet and the elapsed time while do runs.
func (f *testFleet) measureDuring(ctx context.Context, do func(context.Context) error) (use roleUsage, seconds float64, err error) {
	before, err := f.snapshot()
	if err != nil {
		return use, 0, err
	}
	if err := do(ctx); err != nil {
		return use, 0, err
	}
	if err := ctx.Err(); err != nil {
		return use, 0, fmt.Errorf("measure: %w", err)
	}
	after, err := f.snapshot()
	if err != nil {
		return use, 0, err
	}
	return after.since(&before), after.takenAt.Sub(before.takenAt).Seconds(), nil
}

// collector collects series by name, in the order of their first points.
type collector struct {
	order  []string
	series map[string]*Series
	kinds  []KindRate
}

func newCollector() *collector { return &collector{series: map[string]*Series{}} }

func (c *collector) add(name string, axis Axis, unit string, x, y float64) {
	s := c.series[name]
	if s == nil {
		s = &Series{Name: name, Axis: axis, Unit: unit}
		c.series[name] = s
		c.order = append(c.order, name)
	}
	s.Points = append(s.Points, Point{x, y})
}

// addUsage adds a point to each of the four series of one role. suffix is the last
// part of the series names, and per is appended to the units.
func (c *collector) addUsage(role, suffix string, axis Axis, per string, x float64, u usage) {
	c.add(role+".cpu."+suffix, axis, "core seconds"+per, x, u.cpuSeconds)
	c.add(role+".messages."+suffix, axis, "messages"+per, x, u.messages)
	c.add(role+".bytes."+suffix, axis, "bytes"+per, x, u.bytes)
	c.add(role+".memory."+suffix, axis, "bytes resident", x, u.memory)
}

// addKinds adds the traffic of one role by kind of message.
func (c *collector) addKinds(fleet, role string, agents int, u usage) {
	for _, kind := range slices.Sorted(maps.Keys(u.kinds)) {
		if t := u.kinds[kind]; t.Messages > 0 {
			c.kinds = append(c.kinds, KindRate{fleet, agents, role, kind, t})
		}
	}
}

func (c *collector) addTo(r *Result) error {
	r.Kinds = append(r.Kinds, c.kinds...)
	for _, name := range c.order {
		if err := r.add(*c.series[name]); err != nil {
			return err
		}
	}
	return nil
}
