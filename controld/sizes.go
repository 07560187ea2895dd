package controld

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/control"
)

// boundLogInterval is the least time between two log lines about the same bound.
const boundLogInterval = 10 * time.Second

// sizeReporter reports the sizes of the replicated state, of the last snapshot and of the
// log, and the bounds that were reached. It is used by one goroutine.
type sizeReporter struct {
	log      *log.Logger
	snapshot tally.Gauge
	logBytes tally.Gauge
	parts    map[string]*partSize
	scope    tally.Scope
}

// partSize holds the metrics of one bounded part.
type partSize struct {
	items, bytes tally.Gauge
	reached      tally.Counter
	// seen is the count of the last report; loggedAt is the time of the last line, and
	// loggedCount the count that it told.
	seen, loggedCount uint64
	loggedAt          time.Time
}

func newSizeReporter(scope tally.Scope, logger *log.Logger) *sizeReporter {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("control")
	return &sizeReporter{
		log: logger, scope: scope, parts: map[string]*partSize{},
		snapshot: scope.Gauge("snapshot_bytes"), logBytes: scope.Gauge("log_bytes_since_snapshot"),
	}
}

// The bounded parts of a control host that are not replicated state: the queue of messages
// from other replicas, and the changes that wait for the log.
const (
	partMessages = "messages"
	partChanges  = "changes"
)

// usage returns the size of the changes in progress.
func (c *changesInProgress) usage() control.Usage {
	return control.Usage{Part: partChanges, Bytes: int(c.bytes.Load()), Limit: maxChangeBytes, Reached: c.rejected.Load()}
}

// report updates the metrics, and logs for each bound that it was reached, at most once
// in boundLogInterval.
func (r *sizeReporter) report(usage []control.Usage, s LogStatus, now time.Time) {
	r.snapshot.Update(float64(s.SnapshotBytes))
	r.logBytes.Update(float64(s.LogBytes))
	for _, u := range usage {
		r.reportPart(u, now)
	}
	r.reportPart(control.Usage{Part: partMessages, Reached: s.DroppedMessages}, now)
}

func (r *sizeReporter) reportPart(u control.Usage, now time.Time) {
	p := r.part(u.Part)
	p.items.Update(float64(u.Items))
	p.bytes.Update(float64(u.Bytes))
	if u.Reached > p.seen {
		p.reached.Inc(int64(u.Reached - p.seen))
	}
	p.seen = u.Reached
	if u.Reached <= p.loggedCount || now.Sub(p.loggedAt) < boundLogInterval {
		return
	}
	r.log.Warn("a bound in bytes was reached", "part", u.Part, "bytes", u.Bytes, "limit", u.Limit, "items", u.Items,
		"dropped", u.Reached-p.loggedCount, "total", u.Reached)
	p.loggedCount, p.loggedAt = u.Reached, now
}

func (r *sizeReporter) part(name string) *partSize {
	if p, ok := r.parts[name]; ok {
		return p
	}
	scope := r.scope.Tagged(map[string]string{"part": name})
	p := &partSize{items: scope.Gauge("state_items"), bytes: scope.Gauge("state_bytes"), reached: scope.Counter("bound_reached")}
	r.parts[name] = p
	return p
}
