package controld

import (
	"errors"
	"sync/atomic"
)

// maxChangeBytes bounds the changes that wait for the log at this host, its own and those
// of other control hosts. One change alone is always taken.
const maxChangeBytes = 16 << 20

// errTooManyChanges rejects a change that was not proposed. The same change may be taken
// once others are decided.
var errTooManyChanges = errors.New("too many changes in progress")

// changesInProgress counts the bytes of changes that wait for the log. It is safe for
// concurrent use.
type changesInProgress struct {
	bytes    atomic.Int64
	rejected atomic.Uint64
}

// begin takes up a change of a size; end must be called once it is decided.
func (c *changesInProgress) begin(size int) (end func(), err error) {
	n := int64(size)
	if total := c.bytes.Add(n); total > maxChangeBytes && total > n {
		c.bytes.Add(-n)
		c.rejected.Add(1)
		return nil, errTooManyChanges
	}
	return func() { c.bytes.Add(-n) }, nil
}
