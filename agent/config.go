package agent

import "time"

// Config tunes a State. Zero fields take the values of DefaultConfig.
type Config struct {
	// QueueShare is the length of the local queue as a share of the slots.
	QueueShare float64
	// QueueMin is the least length of the local queue, in tasks.
	QueueMin int
	// Policy decides how much credit an entry gets.
	Policy Policy
	// Prefetch is how many tasks above the free slots an entry with waiting
	// tasks may send, so that a slot need not idle for a round trip.
	Prefetch int
	// GrantHold is how long a free slot stays reserved for an entry that was
	// told of it.
	GrantHold time.Duration
	// DemandKeep is how long an entry's demand counts after its last update.
	DemandKeep time.Duration
	// TellEvery is the least time between two reports that only tell an entry
	// without waiting tasks that slots are free again.
	TellEvery time.Duration
	// BypassAfter is how long the first queued task may be overtaken by tasks
	// that need less.
	BypassAfter time.Duration
	// MaxRun bounds a run whose assignment names no bound.
	MaxRun time.Duration
	// StopGrace is how long a stopped run may take to end.
	StopGrace time.Duration
	// SilentAfter is how long a run may go without an answer before the
	// upstream is asked about it on another connection; CheckEvery is the time
	// between such questions.
	SilentAfter time.Duration
	CheckEvery  time.Duration
	// BusyPause is how long nothing starts after the upstream has refused a
	// task although a slot seemed free.
	BusyPause time.Duration
	// Trace hands out a Decision for each task that did not complete.
	Trace bool
	// OrphanAfter is how long the runs of an entry go on that is not heard from;
	// its callers may hand the work in elsewhere. Zero lets them end normally.
	OrphanAfter time.Duration
	// ForgetEntry is how long an entry without a session is remembered.
	ForgetEntry time.Duration
	// MaxUnacked bounds the outcomes kept for one entry, MaxUnackedBytes their
	// bodies. Above half of either the entry gets no credit.
	MaxUnacked      int
	MaxUnackedBytes int
	// MaxReportBytes bounds the bodies in one report.
	MaxReportBytes int
	// PastIDs is how many ids of acknowledged tasks are remembered.
	PastIDs int
	// EjectAfter is how many distinct submissions must fail in a row before
	// the upstream is suspended.
	EjectAfter int
	// SuspendFirst and SuspendMax bound the time of a suspension, which doubles
	// with each failed probation.
	SuspendFirst time.Duration
	SuspendMax   time.Duration
	// DrainWithin bounds a drain; AckWithin bounds the wait for the entries'
	// acknowledgements once the last run has ended.
	DrainWithin time.Duration
	AckWithin   time.Duration
}

// DefaultConfig returns the configuration that applies to unset fields.
func DefaultConfig() Config {
	return Config{
		QueueShare:      0.5,
		QueueMin:        2,
		Policy:          DefaultLend,
		GrantHold:       25 * time.Millisecond,
		DemandKeep:      100 * time.Millisecond,
		TellEvery:       100 * time.Millisecond,
		BypassAfter:     200 * time.Millisecond,
		MaxRun:          10 * time.Minute,
		StopGrace:       time.Second,
		SilentAfter:     2 * time.Second,
		CheckEvery:      time.Second,
		BusyPause:       100 * time.Millisecond,
		ForgetEntry:     10 * time.Minute,
		MaxUnacked:      4096,
		MaxUnackedBytes: 64 << 20,
		MaxReportBytes:  1 << 20,
		PastIDs:         1 << 16,
		EjectAfter:      5,
		SuspendFirst:    time.Second,
		SuspendMax:      time.Minute,
		DrainWithin:     30 * time.Second,
		AckWithin:       4 * time.Second,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.QueueShare, d.QueueShare)
	setDefault(&c.QueueMin, d.QueueMin)
	if c.Policy == nil {
		c.Policy = d.Policy
	}
	setDefault(&c.GrantHold, d.GrantHold)
	setDefault(&c.DemandKeep, d.DemandKeep)
	setDefault(&c.TellEvery, d.TellEvery)
	setDefault(&c.BypassAfter, d.BypassAfter)
	setDefault(&c.MaxRun, d.MaxRun)
	setDefault(&c.StopGrace, d.StopGrace)
	setDefault(&c.SilentAfter, d.SilentAfter)
	setDefault(&c.CheckEvery, d.CheckEvery)
	setDefault(&c.BusyPause, d.BusyPause)
	setDefault(&c.ForgetEntry, d.ForgetEntry)
	setDefault(&c.MaxUnacked, d.MaxUnacked)
	setDefault(&c.MaxUnackedBytes, d.MaxUnackedBytes)
	setDefault(&c.MaxReportBytes, d.MaxReportBytes)
	setDefault(&c.PastIDs, d.PastIDs)
	setDefault(&c.EjectAfter, d.EjectAfter)
	setDefault(&c.SuspendFirst, d.SuspendFirst)
	setDefault(&c.SuspendMax, d.SuspendMax)
	setDefault(&c.DrainWithin, d.DrainWithin)
	setDefault(&c.AckWithin, d.AckWithin)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
