package controlclient

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// configState holds the configuration in force in this process. Its index never
// decreases.
type configState struct {
	site     string
	onConfig func(*fleet.Config)
	log      *log.Logger

	// currentStamp is atomic because it is read for every frame sent, also by
	// goroutines that must not block on mu.
	currentStamp atomic.Pointer[wire.Stamp]

	mu    sync.Mutex
	index uint64
	doc   *fleet.Document
	// highestSeen is the highest configuration index received in any message.
	highestSeen uint64
	// staleAllowed is set once a process without a configuration may accept one
	// from a control host that has no fresh quorum.
	staleAllowed bool
	// staleOffer is the newest configuration pushed before staleAllowed was set by
	// a control host without a fresh quorum. offered is closed with the first one.
	staleOffer *offer
	offered    chan struct{}
}

// offer is a configuration pushed by the control host at the address control.
type offer struct {
	*wire.ConfigPush
	control string
}

func newConfigState(site string, onConfig func(*fleet.Config), logger *log.Logger) *configState {
	s := &configState{site: site, onConfig: onConfig, log: logger, doc: fleet.Empty(), offered: make(chan struct{})}
	s.currentStamp.Store(&wire.Stamp{Digest: s.doc.Digest()})
	return s
}

func (s *configState) stamp() wire.Stamp { return *s.currentStamp.Load() }

// observe records the configuration index of another process. It reports whether
// the index is the highest so far and newer than the one of this process.
func (s *configState) observe(index uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.highestSeen {
		return false
	}
	s.highestSeen = index
	return index > s.index
}

// push adopts a pushed configuration if its index is above the one in force. The
// first configuration of a process must also come from a control host with a
// fresh quorum, or satisfy acceptsStale; otherwise it is kept as staleOffer.
func (s *configState) push(m offer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Index <= s.index {
		return nil
	}
	s.highestSeen = max(s.highestSeen, m.Index)
	if s.index == 0 && !m.Fresh && !s.acceptsStale(m) {
		s.log.Info("configuration held back, its control host has no fresh quorum", "index", m.Index, "control", m.control, "newest-known", s.highestSeen)
		s.hold(m)
		return nil
	}
	return s.adopt(m)
}

// hold keeps the newest configuration that was held back.
func (s *configState) hold(m offer) {
	if s.staleOffer == nil {
		close(s.offered)
	}
	if s.staleOffer == nil || m.Index > s.staleOffer.Index {
		s.staleOffer = &m
	}
}

// acceptsStale reports whether the first configuration of this process may be m
// although its sender has no fresh quorum: the wait for a fresh one is over, and
// no newer index is known.
func (s *configState) acceptsStale(m offer) bool {
	return s.staleAllowed && m.Index >= s.highestSeen
}

// adopt puts a pushed configuration in force.
func (s *configState) adopt(m offer) error {
	next, err := s.doc.Receive(s.index, m.ConfigPush)
	if err != nil {
		return err
	}
	s.log.Info("configuration adopted", "index", m.Index, "before", s.index, "control", m.control, "fresh", m.Fresh, "newest-known", s.highestSeen)
	s.index, s.doc, s.staleOffer = m.Index, next, nil
	s.currentStamp.Store(&wire.Stamp{Index: s.index, Digest: next.Digest()})
	conf := next.Effective(s.site)
	conf.Index = s.index
	if conf.Limits, err = fleet.ParseLimits(m.Limits); err != nil {
		s.log.Warn("limits of requests not all in force", "index", m.Index, "control", m.control, "err", err)
	}
	s.onConfig(conf)
	return nil
}

// allowStale ends the wait for a control host with a fresh quorum and adopts
// staleOffer if no newer index is known.
func (s *configState) allowStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleAllowed = true
	if s.staleOffer == nil || s.index != 0 || !s.acceptsStale(*s.staleOffer) {
		return
	}
	if err := s.adopt(*s.staleOffer); err != nil {
		// The caller's fetch requests the configuration again.
		s.log.Warn("offered configuration rejected", "control", s.staleOffer.control, "err", err)
	}
}
