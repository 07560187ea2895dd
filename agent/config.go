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
	// ReservationTTL is how long a free slot stays reserved for an entry that was
	// told of it.
	ReservationTTL time.Duration
	// DemandTTL is how long an entry's demand counts after its last update.
	DemandTTL time.Duration
	// IdleCreditInterval is the least time between two reports that only tell an entry
	// without waiting tasks that slots are free again.
	IdleCreditInterval time.Duration
	// MaxBypass is how long the first queued task may be overtaken by tasks
	// that need less.
	MaxBypass time.Duration
	// MaxRun bounds a run whose assignment names no bound.
	MaxRun time.Duration
	// StopGrace is how long a stopped run may take to end.
	StopGrace time.Duration
	// CheckAfter is how long a run may go without an answer before the
	// upstream is asked about it on another connection; CheckEvery is the time
	// between such questions.
	CheckAfter    time.Duration
	CheckInterval time.Duration
	// BusyPause is how long nothing starts after the upstream has refused a
	// task although a slot seemed free.
	BusyPause time.Duration
	// Trace hands out a Decision for each task that did not complete.
	Trace bool
	// OrphanAfter is how long the runs of an entry go on that is not heard from;
	// its callers may hand the work in elsewhere. Zero lets them end normally.
	OrphanAfter time.Duration
	// EntryTTL is how long an entry without a session is remembered.
	EntryTTL time.Duration
	// MaxUnacked bounds the outcomes kept for one entry, MaxUnackedBytes their
	// bodies. Above half of either the entry gets no credit.
	MaxUnacked      int
	MaxUnackedBytes int
	// MaxReportBytes bounds the bodies in one report.
	MaxReportBytes int
	// MaxFinishedIDs is how many ids of acknowledged tasks are remembered.
	MaxFinishedIDs int
	// SuspendAfter is how many distinct submissions must fail in a row before
	// the upstream is suspended.
	SuspendAfter int
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
		QueueShare:         0.5,
		QueueMin:           2,
		Policy:             DefaultLend,
		ReservationTTL:     25 * time.Millisecond,
		DemandTTL:          100 * time.Millisecond,
		IdleCreditInterval: 100 * time.Millisecond,
		MaxBypass:          200 * time.Millisecond,
		MaxRun:             10 * time.Minute,
		StopGrace:          time.Second,
		CheckAfter:         2 * time.Second,
		CheckInterval:      time.Second,
		BusyPause:          100 * time.Millisecond,
		EntryTTL:           10 * time.Minute,
		MaxUnacked:         4096,
		MaxUnackedBytes:    64 << 20,
		MaxReportBytes:     1 << 20,
		MaxFinishedIDs:     1 << 16,
		SuspendAfter:       5,
		SuspendFirst:       time.Second,
		SuspendMax:         time.Minute,
		DrainWithin:        30 * time.Second,
		AckWithin:          4 * time.Second,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.QueueShare, d.QueueShare)
	setDefault(&c.QueueMin, d.QueueMin)
	if c.Policy == nil {
		c.Policy = d.Policy
	}
	setDefault(&c.ReservationTTL, d.ReservationTTL)
	setDefault(&c.DemandTTL, d.DemandTTL)
	setDefault(&c.IdleCreditInterval, d.IdleCreditInterval)
	setDefault(&c.MaxBypass, d.MaxBypass)
	setDefault(&c.MaxRun, d.MaxRun)
	setDefault(&c.StopGrace, d.StopGrace)
	setDefault(&c.CheckAfter, d.CheckAfter)
	setDefault(&c.CheckInterval, d.CheckInterval)
	setDefault(&c.BusyPause, d.BusyPause)
	setDefault(&c.EntryTTL, d.EntryTTL)
	setDefault(&c.MaxUnacked, d.MaxUnacked)
	setDefault(&c.MaxUnackedBytes, d.MaxUnackedBytes)
	setDefault(&c.MaxReportBytes, d.MaxReportBytes)
	setDefault(&c.MaxFinishedIDs, d.MaxFinishedIDs)
	setDefault(&c.SuspendAfter, d.SuspendAfter)
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
