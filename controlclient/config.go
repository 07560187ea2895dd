package controlclient

import (
	"sync"
	"sync/atomic"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// holder keeps the configuration in force in this process. Its index never
// goes down.
type holder struct {
	site     string
	onConfig func(*fleet.Config)

	// current is read on every frame sent, also by those who wait for mu.
	current atomic.Pointer[wire.Stamp]

	mu    sync.Mutex
	index uint64
	doc   *fleet.Document
	// highest is the highest index seen in any message.
	highest uint64
	// settled ends the time in which a process without a configuration takes
	// one only from a control host with a fresh quorum.
	settled bool
	// spare is the newest configuration offered meanwhile by a host without.
	spare *wire.ConfigPush
}

func newHolder(site string, onConfig func(*fleet.Config)) *holder {
	h := &holder{site: site, onConfig: onConfig, doc: fleet.Empty()}
	h.current.Store(&wire.Stamp{Digest: h.doc.Digest()})
	return h
}

func (h *holder) stamp() wire.Stamp { return *h.current.Load() }

// seen notes an index in force somewhere. It returns true if that is news and
// ahead of this process.
func (h *holder) seen(index uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if index <= h.highest {
		return false
	}
	h.highest = index
	return index > h.index
}

// push takes a configuration unless it is not above the one in force, or one
// that has been in force elsewhere is known to be newer and this process has
// none at all.
func (h *holder) push(m *wire.ConfigPush) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Index <= h.index {
		return nil
	}
	h.highest = max(h.highest, m.Index)
	if h.index == 0 && !m.Fresh && !h.trusted(m) {
		if h.spare == nil || m.Index > h.spare.Index {
			h.spare = m
		}
		return nil
	}
	return h.adopt(m)
}

// trusted reports whether the first configuration of a process may come from a
// control host that has no fresh quorum.
func (h *holder) trusted(m *wire.ConfigPush) bool {
	return h.settled && m.Index >= h.highest
}

// adopt puts a configuration into force.
func (h *holder) adopt(m *wire.ConfigPush) error {
	next, err := h.doc.Receive(h.index, m)
	if err != nil {
		return err
	}
	h.index, h.doc, h.spare = m.Index, next, nil
	h.current.Store(&wire.Stamp{Index: h.index, Digest: next.Digest()})
	conf := next.Effective(h.site)
	conf.Index = h.index
	h.onConfig(conf)
	return nil
}

// settle ends the wait for a fresh control host.
func (h *holder) settle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = true
	if h.spare != nil && h.index == 0 && h.trusted(h.spare) {
		// A spare that can't be used is fetched again.
		_ = h.adopt(h.spare)
	}
}
