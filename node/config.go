package node

import (
	"sync"

	"github.com/fireflytray/fireflytray/fleet"
)

// configRelay passes configurations to a subscriber that may come later than the
// first of them.
type configRelay struct {
	mu     sync.Mutex
	latest *fleet.Config
	apply  func(*fleet.Config)
}

// put passes on a configuration. Calls must be made one at a time.
func (r *configRelay) put(c *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = c
	if r.apply != nil {
		r.apply(c)
	}
}

// subscribe sets the subscriber and passes it the latest configuration, if any.
func (r *configRelay) subscribe(apply func(*fleet.Config)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply = apply
	if r.latest != nil {
		apply(r.latest)
	}
}
