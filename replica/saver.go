package replica

import (
	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// saveJob is one thing to make durable; exactly one field is set.
type saveJob struct {
	save     *raft.Save
	snapshot *raft.Snapshot
}

// saveDone reports that a job is durable or has failed.
type saveDone struct {
	job saveJob
	err error
}

// saver makes jobs durable in their order, beside the loop, so that what comes
// in during a sync is saved together by the next.
type saver struct {
	wal  *wal.WAL
	jobs chan saveJob
	done chan saveDone
}

// maxPendingJobs is one save and one snapshot: the loop never has more under way.
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

// close waits for the jobs under way and closes the files.
func (s *saver) close() error {
	close(s.jobs)
	for range s.done {
		// Drained so that the saver can end.
	}
	return s.wal.Close()
}
