package control

import (
	"sync"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// maxCachedPushes bounds the number of cached pushes. Processes in touch with the
// control hosts have one of the last few versions.
const maxCachedPushes = 64

// pushCache holds the pushes to the version in force by the version that they update.
// A change of the configuration is pushed to every process, and nearly all of them
// have the version before it.
type pushCache struct {
	mu sync.Mutex
	// doc is the document in force that the pushes lead to.
	doc    *fleet.Document
	byHave map[uint64]wire.ConfigPush
}

// get returns the push from version have to doc. The caller must not change its
// sections.
func (c *pushCache) get(doc *fleet.Document, have uint64, compute func(have uint64) wire.ConfigPush) wire.ConfigPush {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byHave == nil || c.doc != doc || len(c.byHave) >= maxCachedPushes {
		c.doc, c.byHave = doc, make(map[uint64]wire.ConfigPush)
	}
	push, ok := c.byHave[have]
	if !ok {
		push = compute(have)
		c.byHave[have] = push
	}
	return push
}
