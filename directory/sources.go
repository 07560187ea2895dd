package directory

import "time"

// LostSourceGrace is how long the members reported by a control host are kept after
// the connection to it has ended.
const LostSourceGrace = MaxLease

// LostSources holds the sources to which the connection has ended, with the time at
// which their members are removed.
type LostSources map[Source]time.Duration

// Lost records that the connection to src has ended. Only the first call counts until
// Returned, so that connections that end before src reports put off nothing.
func (l LostSources) Lost(now time.Duration, src Source) {
	if _, lost := l[src]; !lost {
		l[src] = now + LostSourceGrace
	}
}

// Returned records that src reports again.
func (l LostSources) Returned(src Source) { delete(l, src) }

// Expire removes the members of all sources whose time has come from t. It returns the
// time at which the next ones are due.
func (l LostSources) Expire(now time.Duration, t *Table) (next time.Duration) {
	next = never
	for src, at := range l {
		if at > now {
			next = min(next, at)
			continue
		}
		delete(l, src)
		t.RemoveSource(src)
	}
	return next
}
