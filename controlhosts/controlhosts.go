// Package controlhosts decides to which control hosts a process keeps connections.
// Entries, agents and control hosts share it. Set is a state machine without I/O: its
// events say which control hosts the settings name, which ones other control hosts
// list, and which connections are open.
//
// Of the control hosts that are alive, a process keeps connections to a limited number;
// one that can't be reached is replaced by another. An address is forgotten only while a
// control host that hears from a quorum lists the others, so that a process that is cut
// off keeps all that it knows.
package controlhosts

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// replaceAfter is how long a control host that is alive may be unreachable, or
	// without a quorum, before another one is taken up beside it.
	replaceAfter = 4 * time.Second
	// forgetAfter is how long a control host must have been without a connection and
	// unlisted, while informed, before it is no longer tried. A connection beyond the
	// limit is closed after the same time.
	forgetAfter = 30 * time.Second
	// MaxListed bounds the addresses that are taken from lists of control hosts. The
	// largest planned fleet has 25 control hosts.
	MaxListed = 64
	// maxRemembered bounds the forgotten addresses that are tried again by a process
	// that is no longer informed.
	maxRemembered = 8
)

// Event is an input of a Set. Exactly one field is set; an empty Event is a timer tick.
type Event struct {
	Configured *Configured
	Listed     *Listed
	Opened     *Opened
	Closed     *Closed
	Quorum     *Quorum
	Informed   *Informed
}

// Configured replaces the addresses that the settings name.
type Configured struct{ Addrs []string }

// Listed replaces the addresses of the control hosts that are known to be alive: those
// that other control hosts report or that belong to the replicated log.
type Listed struct{ Addrs []string }

// Opened reports that a connection to a control host has opened.
type Opened struct{ Addr string }

// Closed reports that the connection to a control host has ended.
type Closed struct{ Addr string }

// Quorum reports whether a connected control host hears from a quorum. A control host,
// whose limit exceeds the number of the others, needs not report it.
type Quorum struct {
	Addr  string
	Fresh bool
}

// Informed reports whether the process is informed: it is, or is connected to, a
// control host that hears from a quorum and lists all control hosts that are alive.
type Informed struct{ Yes bool }

// unconfigured is the position of a host that the settings don't name.
const unconfigured = math.MaxInt

// host is what a Set knows of one control host.
type host struct {
	addr string
	// position is that in the settings, or unconfigured.
	position int
	listed   bool
	// connected tells whether a connection is open, selected whether one is kept or
	// tried.
	connected, selected bool
	// seenAt is the last time at which the host was listed or connected, or else the
	// time at which its address was learnt.
	seenAt time.Duration
	// fresh is set while a connected host hears from a quorum. A host that is selected
	// has been without a connection or without a quorum since troubledSince.
	fresh         bool
	troubledSince time.Duration
	// surplus is set while a connected host is beyond the limit, since surplusSince.
	surplus      bool
	surplusSince time.Duration
	// order sorts the hosts that are not configured, differently for each process.
	order uint64
}

// alive reports whether the host is known to run.
func (h *host) alive() bool { return h.listed || h.connected }

// Set holds the control hosts that a process knows. It is not safe for concurrent use.
type Set struct {
	// id names the process; limit is the number of connections to keep.
	id    string
	limit int
	// hosts is sorted by preference: the configured ones in the order of the settings,
	// then the others by order.
	hosts []*host
	// informedSince is the time since which the process has been informed.
	informedSince time.Duration
	informed      bool
}

// New returns an empty set for the process id that keeps connections to at most limit
// control hosts that are alive.
func New(id string, limit int) *Set { return &Set{id: id, limit: limit} }

// Step handles one event. It returns the addresses to which connections are kept or
// tried from now on, and those that are given up.
func (s *Set) Step(now time.Duration, ev Event) (connect, drop []string) {
	s.apply(now, ev)
	drop = s.evict()
	wanted := s.wanted(now)
	for _, h := range s.hosts {
		switch {
		case wanted[h] && !h.selected:
			h.troubledSince = now
			connect = append(connect, h.addr)
		case !wanted[h] && h.selected:
			h.connected, h.fresh = false, false
			drop = append(drop, h.addr)
		}
		h.selected = wanted[h]
	}
	return connect, drop
}

// apply records what an event says.
func (s *Set) apply(now time.Duration, ev Event) {
	switch {
	case ev.Configured != nil:
		s.configure(now, ev.Configured.Addrs)
	case ev.Listed != nil:
		s.list(now, ev.Listed.Addrs)
	case ev.Opened != nil:
		if h := s.find(ev.Opened.Addr); h != nil {
			h.connected, h.fresh, h.surplus, h.troubledSince = true, false, false, now
		}
	case ev.Closed != nil:
		if h := s.find(ev.Closed.Addr); h != nil && h.connected {
			h.connected, h.fresh, h.seenAt, h.troubledSince = false, false, now, now
		}
	case ev.Quorum != nil:
		if h := s.find(ev.Quorum.Addr); h != nil && h.connected && h.fresh != ev.Quorum.Fresh {
			h.fresh, h.troubledSince = ev.Quorum.Fresh, now
		}
	case ev.Informed != nil:
		if ev.Informed.Yes && !s.informed {
			s.informedSince = now
		}
		s.informed = ev.Informed.Yes
	}
}

// InformedFor reports whether the process has been informed for at least d.
func (s *Set) InformedFor(now, d time.Duration) bool {
	return s.informed && now-s.informedSince >= d
}

func (s *Set) find(addr string) *host {
	if i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.addr == addr }); i >= 0 {
		return s.hosts[i]
	}
	return nil
}

// learn returns the host at addr, which it adds if it is not known.
func (s *Set) learn(now time.Duration, addr string) *host {
	if h := s.find(addr); h != nil {
		return h
	}
	h := &host{addr: addr, position: unconfigured, seenAt: now, order: orderOf(s.id, addr)}
	s.hosts = append(s.hosts, h)
	return h
}

// orderOf spreads the processes over the control hosts.
func orderOf(id, addr string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id + "@" + addr)) // never fails
	return sum.Sum64()
}

// configure takes the addresses of the settings. An address that they name anew counts
// as seen, so that it is tried whatever the lists say.
func (s *Set) configure(now time.Duration, addrs []string) {
	known := map[string]bool{}
	for _, h := range s.hosts {
		known[h.addr] = h.position != unconfigured
		h.position = unconfigured
	}
	for i, addr := range addrs {
		if addr == "" {
			continue
		}
		h := s.learn(now, addr)
		if !known[addr] {
			h.seenAt = now
		}
		h.position = i
	}
	s.sort()
}

// sort sorts the hosts by preference.
func (s *Set) sort() {
	slices.SortFunc(s.hosts, func(a, b *host) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.order, b.order))
	})
}

func (s *Set) list(now time.Duration, addrs []string) {
	for _, h := range s.hosts {
		if h.listed {
			h.listed, h.seenAt = false, now
		}
	}
	for _, addr := range addrs[:min(len(addrs), MaxListed)] {
		if addr != "" {
			s.learn(now, addr).listed = true
		}
	}
	s.sort()
}

// wanted returns the hosts to which connections are kept or tried: of those that are
// alive the preferred ones, until limit of them serve or twice as many are tried; and
// those not known to be alive that have not been given up.
func (s *Set) wanted(now time.Duration) map[*host]bool {
	wanted := map[*host]bool{}
	kept, serving := 0, 0
	for _, h := range s.hosts {
		switch {
		case !h.alive():
			wanted[h] = !s.informed || now-max(h.seenAt, s.informedSince) < forgetAfter
		case serving < s.limit && kept < 2*s.limit:
			wanted[h], h.surplus = true, false
			kept++
			if h.fresh || !h.selected || now-h.troubledSince < replaceAfter {
				serving++
			}
		case h.connected:
			wanted[h] = !s.isSurplus(now, h)
		}
	}
	return wanted
}

// isSurplus reports whether a connected host has been beyond the limit for forgetAfter.
func (s *Set) isSurplus(now time.Duration, h *host) bool {
	if !h.surplus {
		h.surplus, h.surplusSince = true, now
	}
	return now-h.surplusSince >= forgetAfter
}

// evict removes the hosts that nothing names or reaches and that were seen longest ago,
// until maxRemembered of them are left. It returns the addresses of those that were
// being tried.
func (s *Set) evict() (dropped []string) {
	var idle []*host
	for _, h := range s.hosts {
		if h.position == unconfigured && !h.alive() {
			idle = append(idle, h)
		}
	}
	if len(idle) <= maxRemembered {
		return nil
	}
	slices.SortStableFunc(idle, func(a, b *host) int { return cmp.Compare(a.seenAt, b.seenAt) })
	evicted := idle[:len(idle)-maxRemembered]
	for _, h := range evicted {
		if h.selected {
			dropped = append(dropped, h.addr)
		}
	}
	s.hosts = slices.DeleteFunc(s.hosts, func(h *host) bool { return slices.Contains(evicted, h) })
	return dropped
}
