package agent

import "time"

// Config holds the parameters of a State. Zero fields take the values of
// DefaultConfig.
type Config struct {
	// QueueShare is the capacity of the local queue as a fraction of the slots.
	QueueShare float64
	// QueueMin is the minimum capacity of the local queue, in tasks.
	QueueMin int
	// Policy decides how much credit each entry gets.
	Policy Policy
	// Prefetch is how many tasks beyond the free slots an entry with waiting
	// tasks may send, so that a slot does not stay idle for a round trip.
	Prefetch int
	// ReservationTTL is how long a free slot stays reserved for an entry that
	// received credit for it.
	ReservationTTL time.Duration
	// DemandTTL is how long an entry's demand stays valid after its last update.
	DemandTTL time.Duration
	// IdleCreditInterval is the minimum time between two reports that carry
	// only new credit for an entry without waiting tasks.
	IdleCreditInterval time.Duration
	// MaxBypass is how long tasks with smaller resource needs may overtake the
	// first queued task.
	MaxBypass time.Duration
	// MaxRun bounds the run time of each task. It applies where the assignment
	// sets no limit or a higher one.
	MaxRun time.Duration
	// StopGrace is how long a run may take to end after a stop request.
	StopGrace time.Duration
	// CheckAfter is how long a run may go without a response before the
	// upstream is queried about it on another connection. CheckInterval is the
	// time between such queries.
	CheckAfter    time.Duration
	CheckInterval time.Duration
	// BusyPause is how long no task starts after the upstream rejected one as
	// busy although the agent counted a free slot.
	BusyPause time.Duration
	// Trace emits a RunStarted for each run and a Decision for each task that ended.
	Trace bool
	// OrphanAfter is how long after an entry's last message its runs continue,
	// because its callers may submit the work elsewhere. Zero lets the runs end
	// normally.
	OrphanAfter time.Duration
	// RunsEndWithin bounds the time from when the agent stops holding a run, for
	// example because its process ends, or is to stop it, to the end of that run
	// at the upstream, whether stops arrive or not.
	// Entries rely on it in the use of job locks. With zero, the agent keeps no
	// locks.
	RunsEndWithin time.Duration
	// EntryTTL is how long the state of an entry without a session is kept.
	EntryTTL time.Duration
	// MaxUnacked bounds the number of unacknowledged outcomes kept for one
	// entry, MaxUnackedBytes the total size of their bodies. From half of
	// either limit on, the entry gets no credit.
	MaxUnacked      int
	MaxUnackedBytes int
	// MaxHeldBytes bounds the payloads of tasks that have not ended and the bodies of
	// unacknowledged outcomes of all entries. From half of it on, no entry gets credit;
	// above it, tasks are refused as not run.
	MaxHeldBytes int
	// MaxReportBytes bounds the total size of the bodies in one report. A
	// single larger body is still sent, alone.
	MaxReportBytes int
	// MaxFinishedIDs is how many ids of acknowledged tasks are kept to detect
	// duplicates.
	MaxFinishedIDs int
	// SuspendAfter is how many distinct submissions must fail without a success
	// in between before the upstream is suspended.
	SuspendAfter int
	// SuspendFirst is the duration of the first suspension. It doubles with
	// each failed probation, up to SuspendMax.
	SuspendFirst time.Duration
	SuspendMax   time.Duration
	// DrainTimeout bounds the duration of a drain. AckWithin bounds the wait for
	// the entries' acknowledgements after the last run has ended. WithdrawWithin
	// bounds the wait until the entries know of the drain.
	DrainTimeout   time.Duration
	AckWithin      time.Duration
	WithdrawWithin time.Duration
}

// DefaultConfig returns the values that replace zero fields of a Config.
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
		MaxHeldBytes:       128 << 20,
		MaxReportBytes:     1 << 20,
		MaxFinishedIDs:     1 << 16,
		SuspendAfter:       5,
		SuspendFirst:       time.Second,
		SuspendMax:         time.Minute,
		DrainTimeout:       30 * time.Second,
		AckWithin:          4 * time.Second,
		WithdrawWithin:     time.Second,
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
	setDefault(&c.MaxHeldBytes, d.MaxHeldBytes)
	setDefault(&c.MaxReportBytes, d.MaxReportBytes)
	setDefault(&c.MaxFinishedIDs, d.MaxFinishedIDs)
	setDefault(&c.SuspendAfter, d.SuspendAfter)
	setDefault(&c.SuspendFirst, d.SuspendFirst)
	setDefault(&c.SuspendMax, d.SuspendMax)
	setDefault(&c.DrainTimeout, d.DrainTimeout)
	setDefault(&c.AckWithin, d.AckWithin)
	setDefault(&c.WithdrawWithin, d.WithdrawWithin)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
