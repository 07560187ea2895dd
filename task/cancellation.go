package task

// Cancellation is the outcome of the cancellation of a job by its client's id.
type Cancellation uint8

// The outcomes of a cancellation.
const (
	// CancellationUnknown means that the job may be held by an entry that has not
	// learnt of the cancellation.
	CancellationUnknown Cancellation = iota
	// Cancelled means that the entries that held the job know that it is cancelled.
	Cancelled
	// NoSuchJob means that no entry holds the job.
	NoSuchJob
)

// String returns the outcome as it appears in logs.
func (c Cancellation) String() string {
	switch c {
	case Cancelled:
		return "cancelled"
	case NoSuchJob:
		return "no_such_job"
	}
	return "unknown"
}
