package controld

import (
	"context"
	"sync"
	"time"
)

// firstConfigRetryInterval is the pause after a failed confirmation that the
// configuration is the newest.
const firstConfigRetryInterval = 25 * time.Millisecond

// firstConfigs sends their first configuration to processes that have none. A process
// that restarts must not begin with a configuration older than one that its
// predecessor had, so each push waits until this host has applied every change
// accepted before the process asked. One confirmation serves all that wait for it.
type firstConfigs struct {
	mu      sync.Mutex
	waiting map[*session]struct{}
	// running is set while a goroutine serves the waiting sessions.
	running bool
}

func newFirstConfigs() *firstConfigs {
	return &firstConfigs{waiting: map[*session]struct{}{}}
}

// add adds a session. It reports whether the caller must start to serve those that
// wait.
func (f *firstConfigs) add(s *session) (start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[s] = struct{}{}
	start, f.running = !f.running, true
	return start
}

// take returns the waiting sessions and removes them. Without any, the caller must
// stop to serve.
func (f *firstConfigs) take() map[*session]struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.waiting
	f.waiting = map[*session]struct{}{}
	f.running = len(out) > 0
	return out
}

// pushFirst sends the configuration in force to a process that has none, once it is
// known to be the newest.
func (h *Host) pushFirst(ctx context.Context, s *session) {
	if h.firstConfigs.add(s) {
		h.group.Go(func() error {
			h.serveFirstConfigs(ctx)
			return nil
		})
	}
}

// serveFirstConfigs serves the waiting sessions until there are none. While this host
// can't confirm that its configuration is the newest, it offers it as not fresh and
// tries again.
func (h *Host) serveFirstConfigs(ctx context.Context) {
	for {
		waiting := h.firstConfigs.take()
		if len(waiting) == 0 || ctx.Err() != nil {
			return
		}
		confirmed := h.caughtUp(ctx)
		for s := range waiting {
			h.sendFirst(s, confirmed)
			if !confirmed && h.sessions.get(s.id) == s {
				h.firstConfigs.add(s)
			}
		}
		if confirmed {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(firstConfigRetryInterval):
		}
	}
}

// sendFirst sends the configuration in force to a process, unless the process has one
// or this host has none.
func (h *Host) sendFirst(s *session, confirmed bool) {
	index := h.machine.Stamp().Index
	peerIndex, due := s.firstPushDue(index, confirmed, time.Now())
	if !due {
		return
	}
	msg := h.machine.Push(peerIndex)
	msg.Fresh = confirmed
	s.send(msg)
}
