package entry

import (
	"fmt"

	"github.com/fireflytray/fireflytray/task"
)

// taskOverhead is about the memory of a task in flight besides its payload, in bytes.
const taskOverhead = 512

// JobSize returns what the tasks of a job with a shared payload take of
// Options.MaxBytes, in bytes.
func JobSize(tasks, payloadBytes int) int { return tasks*taskOverhead + payloadBytes }

// submissionSize returns about the memory of a submission in flight, in bytes. The tasks
// of a job often share one payload.
func submissionSize(sub *task.Submission) int {
	size := len(sub.Tasks) * taskOverhead
	var last []byte
	for i := range sub.Tasks {
		p := sub.Tasks[i].Payload
		if len(p) > 0 && (len(last) == 0 || &p[0] != &last[0]) {
			size += len(p)
		}
		last = p
	}
	return size
}

// checkRoom rejects a submission that exceeds the bounds of what this entry holds, in
// submissions and in bytes.
func (e *Entry) checkRoom(sub *task.Submission) *refusal {
	size := submissionSize(sub)
	switch {
	case e.opts.MaxBytes > 0 && size > e.opts.MaxBytes:
		return &refusal{reason: task.ReasonTooLarge, detail: fmt.Sprintf("the submission takes %d bytes, this entry holds at most %d", size, e.opts.MaxBytes)}
	case e.opts.MaxBytes > 0 && e.bytes+size > e.opts.MaxBytes:
		e.stats.NoRoomForBytes++
		return &refusal{
			reason: task.ReasonOverload, retryAfter: minOverloadRetryAfter,
			detail: fmt.Sprintf("this entry holds %d of %d bytes", e.bytes, e.opts.MaxBytes),
		}
	case e.opts.MaxSubmissions > 0 && len(e.subs) >= e.opts.MaxSubmissions:
		e.stats.NoRoomForSubmissions++
		return &refusal{
			reason: task.ReasonOverload, retryAfter: minOverloadRetryAfter,
			detail: fmt.Sprintf("this entry holds %d submissions", len(e.subs)),
		}
	}
	return nil
}

// occupy adds bytes to what the entry holds for a submission until it is answered.
func (e *Entry) occupy(s *submission, bytes int) {
	s.bytes += bytes
	e.bytes += bytes
}

// release frees what the entry holds for a submission.
func (e *Entry) release(s *submission) { e.occupy(s, -s.bytes) }
