package replica

import (
	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// saveJob is a write to make durable; exactly one field is set.
type saveJob struct {
	save     *raft.Save
	snapshot *raft.Snapshot
}

// saveDone reports that a job is durable or has failed.
type saveDone struct {
	job saveJob
	err error
}

// saver makes jobs durable in order, in a goroutine of its own, so that input
// that arrives during a sync is saved together by the next one.
type saver struct {
	wal  *wal.WAL
	jobs chan saveJob
	done chan saveDone
}

// maxPendingJobs covers one save and one snapshot; the loop never has more in
// flight.
const maxPendingJobs = 2

func newSaver(w *wal.WAL) *saver {
	s := &saver{
		wal:  w,
		jobs: make(chan saveJob, maxPendingJobs),
		done: make(chan saveDone, maxPendingJobs),
	}
	go s.run()
	return s
}

func (s *saver) run() {
	defer close(s.done)
	for job := range s.jobs {
		s.done <- saveDone{job: job, err: s.store(job)}
	}
}

func (s *saver) store(job saveJob) error {
	if job.snapshot != nil {
		return s.wal.SaveSnapshot(*job.snapshot)
	}
	return s.wal.Save(job.save)
}

// close waits for the jobs in flight and closes the files.
func (s *saver) close() error {
	close(s.jobs)
	for range s.done {
		// Drained so that the saver's goroutine can end.
	}
	return s.wal.Close()
}
