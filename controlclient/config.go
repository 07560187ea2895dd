package controlclient

import (
	"sync"
	"sync/atomic"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// configState keeps the configuration in force in this process. Its index never
// goes down.
type configState struct {
	site     string
	onConfig func(*fleet.Config)

	// currentStamp is read on every frame sent, also by those who wait for mu.
	currentStamp atomic.Pointer[wire.Stamp]

	mu    sync.Mutex
	index uint64
	doc   *fleet.Document
	// highestSeen is the highest index seen in any message.
	highestSeen uint64
	// staleAllowed ends the time in which a process without a configuration takes
	// one only from a control host with a fresh quorum.
	staleAllowed bool
	// staleOffer is the newest configuration offered meanwhile by a host without.
	staleOffer *wire.ConfigPush
}

func newConfigState(site string, onConfig func(*fleet.Config)) *configState {
	h := &configState{site: site, onConfig: onConfig, doc: fleet.Empty()}
	h.currentStamp.Store(&wire.Stamp{Digest: h.doc.Digest()})
	return h
}

func (h *configState) stamp() wire.Stamp { return *h.currentStamp.Load() }

// observe notes an index in force somewhere. It returns true if that is news and
// ahead of this process.
func (h *configState) observe(index uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if index <= h.highestSeen {
		return false
	}
	h.highestSeen = index
	return index > h.index
}

// push takes a configuration unless it is not above the one in force, or one
// that has been in force elsewhere is known to be newer and this process has
// none at all.
func (h *configState) push(m *wire.ConfigPush) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Index <= h.index {
		return nil
	}
	h.highestSeen = max(h.highestSeen, m.Index)
	if h.index == 0 && !m.Fresh && !h.acceptsStale(m) {
		if h.staleOffer == nil || m.Index > h.staleOffer.Index {
			h.staleOffer = m
		}
		return nil
	}
	return h.adopt(m)
}

// acceptsStale reports whether the first configuration of a process may come from a
// control host that has no fresh quorum.
func (h *configState) acceptsStale(m *wire.ConfigPush) bool {
	return h.staleAllowed && m.Index >= h.highestSeen
}

// adopt puts a configuration into force.
func (h *configState) adopt(m *wire.ConfigPush) error {
	next, err := h.doc.Receive(h.index, m)
	if err != nil {
		return err
	}
	h.index, h.doc, h.staleOffer = m.Index, next, nil
	h.currentStamp.Store(&wire.Stamp{Index: h.index, Digest: next.Digest()})
	conf := next.Effective(h.site)
	conf.Index = h.index
	h.onConfig(conf)
	return nil
}

// allowStale ends the wait for a fresh control host.
func (h *configState) allowStale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.staleAllowed = true
	if h.staleOffer != nil && h.index == 0 && h.acceptsStale(h.staleOffer) {
		// A spare that can't be used is fetched again.
		_ = h.adopt(h.staleOffer)
	}
}
