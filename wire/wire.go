// Package wire defines the messages that the system's processes exchange. They
// are encoded as MessagePack by generated code; package transport frames them.
//
// Messages never carry wall-clock times. They carry durations, and the sender's
// monotonic clock (SentAt), which the receiver uses only to detect messages that
// were delayed in transit.
package wire

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

//go:generate go tool msgp -tests=false -io=false
//msgp:limit arrays:65536 maps:64

// Version is the protocol version that every frame carries.
const Version = 1

// Kind identifies the type of the message in a frame.
type Kind uint8

// The message kinds. Numbers are never reused.
const (
	KindHello Kind = iota + 1
	KindWelcome
	KindUpdate
	KindReport
	KindAnnounce
	KindAnnounced
	KindDirectory
	KindConfigFetch
	KindConfigPush
	KindClaim
	KindClaimReply
	KindResolve
	KindRaft
	KindPing
	KindPong
	KindPropose
	KindProposed

	// KindLimit is one more than the highest kind.
	KindLimit
)

// Role is the role of a process; a certificate names exactly one.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Peer identifies a process. After a restart it has the same ID and a new
// Incarnation.
type Peer struct {
	Role Role `msg:"r"`
	// ID is unique within the fleet and comes from the process's settings.
	ID string `msg:"i"`
	// Incarnation is chosen at process start; two runs of a process never share
	// one.
	Incarnation uint64 `msg:"n"`
	// Domain is the failure domain.
	Domain string `msg:"d"`
	// Site is the site whose configuration overlay the process applies.
	Site string `msg:"s"`
	// Addr is the host:port on which the process listens for its peers.
	Addr string `msg:"a"`
}

// Stamp identifies the sender's configuration in force; every frame carries
// one.
type Stamp struct {
	Index  uint64
	Digest uint64
}

// Hello opens a session; it is the first message from the dialling side. A newer
// session of the same peer incarnation ends the older one: messages that arrive
// on the older one afterwards are rejected.
type Hello struct {
	From Peer `msg:"f"`
	// Session increases with each dial by the same incarnation.
	Session uint64 `msg:"s"`
	// SentAt is the sender's monotonic clock.
	SentAt time.Duration `msg:"t"`
	// AgentIncarnation is the incarnation of the agent that Pending refers to;
	// zero on the first dial.
	AgentIncarnation uint64 `msg:"n"`
	// Pending lists the tasks that the entry has sent to that incarnation and
	// whose outcomes it does not know.
	Pending []task.ID `msg:"p"`
	// HeedsCancelled is set by entries that handle Report.Cancelled.
	HeedsCancelled bool `msg:"h,omitempty"`
}

// Welcome accepts a session.
type Welcome struct {
	From   Peer          `msg:"f"`
	SentAt time.Duration `msg:"t"`
	// Worker describes the upstream behind an agent; nil from other roles.
	Worker *Worker `msg:"w"`
	// Report carries every outcome that this entry has not yet acknowledged, and
	// reports each pending task that never arrived as NotRun (never_received).
	// Nil from other roles.
	Report *Report `msg:"o"`
	// RunsEndWithin bounds the time from when the agent stops holding a run, or is
	// to stop it, to the end of that run at its upstream. Zero means that the agent
	// keeps no job locks.
	RunsEndWithin time.Duration `msg:"e,omitempty"`
	// LocksKeptFor is the time for which the agent has kept job locks. It does not
	// know those that its predecessor granted.
	LocksKeptFor time.Duration `msg:"l,omitempty"`
	// OrphansEndWithin bounds the time from the end of an entry to the end of its runs at
	// all agents. No majority counts an agent that has kept locks for less than that.
	OrphansEndWithin time.Duration `msg:"r,omitempty"`
}

// Worker describes an upstream and the worker that it runs on.
type Worker struct {
	Service string `msg:"s"`
	// Slots is the number of tasks that may run concurrently; zero while no
	// upstream is announced or while it is draining.
	Slots uint32 `msg:"l"`
	// Connections is the number of connections that the upstream accepts.
	Connections uint32 `msg:"c"`
	// Offered is the worker's total resources. They may shrink and grow while the
	// upstream runs.
	Offered task.Resources `msg:"o"`
	// Largest holds the most of each resource that the upstream has offered.
	Largest task.Resources `msg:"g"`
	Rack    string         `msg:"k"`
	// Draining is set once the upstream has announced that it is leaving.
	Draining bool `msg:"d"`
}

// Demand describes the tasks that wait at an entry for a service. It lets an
// agent choose which entry to grant a slot without another round trip.
type Demand struct {
	// Waiting is the number of tasks that would start now if slots were free.
	Waiting uint32 `msg:"w"`
	// Rank is the rank of the entry's first waiting task, as computed by
	// queue.Order.Rank of package entry/queue; the lowest goes first.
	Rank float64 `msg:"r"`
}

// Assignment is one task that an entry sends to an agent.
type Assignment struct {
	ID   task.ID   `msg:"i"`
	Team string    `msg:"m"`
	Spec task.Spec `msg:"s"`
	// Rank orders the tasks queued at the agent, lowest first.
	Rank float64 `msg:"r"`
	// StartWithin is the time after sending beyond which the task must not be
	// started.
	StartWithin time.Duration `msg:"w"`
	// RunWithin bounds the time from sending to the end of the run.
	RunWithin time.Duration `msg:"e"`
	// Kind groups tasks that are alike, such as those of one route.
	Kind string `msg:"k,omitempty"`
	// ApartFor is the time around the start of the task within which no other task may
	// start at the upstream.
	ApartFor time.Duration `msg:"p,omitempty"`
	// Alone is set if nothing else may run at the upstream while the task runs.
	Alone bool `msg:"l,omitempty"`
}

// Update is the one message type that an entry sends to an agent during a
// session. It carries tasks, cancellations, acknowledgements, demand and requests
// for job locks.
type Update struct {
	// Seq numbers the updates of a session, starting at 1.
	Seq uint64 `msg:"q"`
	// Ack is the highest Report.Seq processed; it acknowledges the outcomes in
	// all reports up to and including that one.
	Ack    uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
	Demand Demand        `msg:"d"`
	Tasks  []Assignment  `msg:"a"`
	Cancel []task.ID     `msg:"c"`
	// Release is applied before Acquire.
	Release []LockRef     `msg:"l,omitempty"`
	Acquire []LockRequest `msg:"k,omitempty"`
	// Withdraw is applied last. Older builds ignore it.
	Withdraw []Withdrawal `msg:"w,omitempty"`
}

// Withdrawal passes on a client's cancellation of a job that the sender does not hold to
// an agent that may keep the lock of the job.
type Withdrawal struct {
	// Request is chosen by the sender; its answer has the same.
	Request uint64 `msg:"n"`
	Ref     string `msg:"r"`
}

// WithdrawalAnswer answers a withdrawal, once each submission of the job that held the
// lock or waited for it has learnt of the cancellation or is over.
type WithdrawalAnswer struct {
	Request uint64 `msg:"n"`
	// Found is set if there was such a submission.
	Found bool `msg:"f"`
}

// LockRef identifies the lock of a job and the submission that holds it or
// waits for it.
type LockRef struct {
	// Ref is the caller's own id of the job.
	Ref        string            `msg:"r"`
	Submission task.SubmissionID `msg:"s"`
}

// LockRequest requests the lock of a job for a submission.
type LockRequest struct {
	Ref        string            `msg:"r"`
	Submission task.SubmissionID `msg:"s"`
	// Age is the time since the submission arrived at its entry. Of two
	// submissions of a job, the younger one gets the lock.
	Age time.Duration `msg:"a"`
	// Within bounds the time from sending during which the submission may have
	// runs.
	Within time.Duration `msg:"w"`
}

// LockState is the state of a request for a job lock.
type LockState uint8

// The states of a request.
const (
	// LockGranted means that no other submission of the job may have runs.
	LockGranted LockState = iota + 1
	// LockQueued means that the lock is granted once its holder has released it.
	LockQueued
	// LockRevoked means that a younger submission of the job holds the lock or
	// waits for it. The submission must be given up and the lock released once
	// its last run has ended.
	LockRevoked
	// LockUnavailable means that the agent can't keep more locks.
	LockUnavailable
)

// LockAnswer is the state of a lock request. It answers the request and reports
// each later change.
type LockAnswer struct {
	Ref        string            `msg:"r"`
	Submission task.SubmissionID `msg:"s"`
	State      LockState         `msg:"t"`
}

// Report is the one message type that an agent sends to an entry during a
// session. It carries outcomes, refusals, credit and answers about job locks.
type Report struct {
	// Seq numbers the reports to one entry incarnation, starting at 1, across
	// all its sessions.
	Seq uint64 `msg:"q"`
	// Ack is the highest Update.Seq processed in this session.
	Ack    uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
	// Credit is the number of further tasks that the entry may send, relative to
	// the state after update Ack. It replaces earlier credit.
	Credit uint32 `msg:"c"`
	// Running and Queued are the agent's totals over all entries.
	Running uint32 `msg:"r"`
	Queued  uint32 `msg:"u"`
	// Slots is the current Worker.Slots; zero when draining or suspended.
	Slots uint32 `msg:"l"`
	// LogRunTimeRatio is the mean, over the agent's recently ended tasks, of the
	// logarithm of actual run time divided by declared run time; zero if too few
	// tasks have ended.
	LogRunTimeRatio float32 `msg:"p"`
	// Worker is set if its resources or service differ from those last sent in
	// this session.
	Worker   *Worker  `msg:"k"`
	Outcomes []Result `msg:"o"`
	// Locks answers lock requests.
	Locks []LockAnswer `msg:"j,omitempty"`
	// Crashes holds the crashes of the agent's upstreams that the session has not
	// been told of, and those whose state has changed.
	Crashes []Crash `msg:"x,omitempty"`
	// Cancelled lists submissions of the entry whose job a client has cancelled at
	// another entry. Withdrawn answers withdrawals.
	Cancelled []LockRef          `msg:"y,omitempty"`
	Withdrawn []WithdrawalAnswer `msg:"z,omitempty"`
}

// CrashState says how much an agent knows of a crash of its upstream.
type CrashState uint8

// The states of a crash.
const (
	// CrashSuspected means that the upstream does not answer. It may be cut off.
	CrashSuspected CrashState = iota + 1
	// CrashConfirmed means that another process has taken the upstream's place, or that
	// nothing listens at its address.
	CrashConfirmed
	// CrashWithdrawn means that the same process answers again.
	CrashWithdrawn
)

// String returns the state as it appears in logs.
func (s CrashState) String() string {
	switch s {
	case CrashSuspected:
		return "suspected"
	case CrashConfirmed:
		return "confirmed"
	case CrashWithdrawn:
		return "withdrawn"
	}
	return "unknown"
}

// Crash describes a crash of an agent's upstream and what ran there.
type Crash struct {
	// Seq numbers the crashes that one incarnation of the agent has seen.
	Seq   uint64     `msg:"q"`
	State CrashState `msg:"s"`
	// Age is the time since the agent noticed the crash.
	Age time.Duration `msg:"a"`
	// Runs are the runs in progress, those that had started last first.
	Runs []CrashedRun `msg:"r"`
	// TimeUnknown is set if the upstream may have crashed long before the agent
	// noticed, as when calls time out.
	TimeUnknown bool `msg:"u,omitempty"`
	// Unlisted is set if starts that the upstream may or may not have seen, or runs
	// beyond those listed, may have crashed it as well.
	Unlisted bool `msg:"l,omitempty"`
	// Possible are runs whose starts were sent and got no answer. The upstream may have
	// crashed because of them, or before they arrived.
	Possible []CrashedRun `msg:"p,omitempty"`
}

// CrashedRun is a run that was in progress when its upstream crashed.
type CrashedRun struct {
	// Task is Spec.Name of the task, and Kind that of its assignment.
	Task string `msg:"t"`
	Kind string `msg:"k"`
	// Ran is the time from the start of the run until the agent noticed the crash.
	Ran time.Duration `msg:"a"`
}

// Result is the outcome of one task.
type Result struct {
	ID      task.ID      `msg:"i"`
	Outcome task.Outcome `msg:"o"`
	// WaitTime is how long the task was queued at the agent before it started.
	WaitTime time.Duration `msg:"w"`
}

// Announce registers a process with a control host and renews its lease.
type Announce struct {
	From Peer `msg:"f"`
	// Seq increases with each announcement of an incarnation.
	Seq uint64 `msg:"q"`
	// Worker is set by agents with an upstream.
	Worker *Worker `msg:"w"`
	// Lease is how long the registration lasts without renewal.
	Lease time.Duration `msg:"l"`
	// Leaving ends the lease at once.
	Leaving bool `msg:"g"`
	// Watch subscribes to Directory messages on this connection.
	Watch bool `msg:"a"`
	// Replica is set by control hosts.
	Replica *Replica `msg:"p"`
}

// Replica describes a control host's replica of the log.
type Replica struct {
	// ID is generated when the data directory is created.
	ID uint64 `msg:"i"`
	// Waiting is set while the replica belongs to no cluster and requests to be
	// added to one.
	Waiting bool `msg:"w"`
	// Format is the latest format of the replicated state that the host supports. A
	// host of a build before state formats sends none and supports the first.
	Format uint32 `msg:"f"`
}

// Announced answers an Announce.
type Announced struct {
	// Seq is the Announce.Seq of the announcement that it answers.
	Seq uint64 `msg:"q"`
	// Fresh reports whether the control host has recently been in contact with a
	// quorum; it is false on a partitioned control host.
	Fresh bool `msg:"f"`
}

// Member is the directory's record of a live process.
type Member struct {
	Peer   Peer    `msg:"p"`
	Worker *Worker `msg:"w"`
	// ConfigIndex is the index of the configuration in force at the process.
	ConfigIndex uint64 `msg:"c"`
	// Seq is the Announce.Seq that this record comes from; of two records of one
	// incarnation, the one with the higher Seq is newer.
	Seq uint64 `msg:"q"`
}

// Directory is an incremental update of the member list, or the whole list.
type Directory struct {
	// Full is set if Upserts is the whole list known to this control host.
	Full bool `msg:"f"`
	// Complete is set once the control host has been running for longer than a
	// lease, so that every live process has had time to announce itself. While
	// it is false, a member that is missing from a Full list may still be alive.
	Complete bool     `msg:"k"`
	Upserts  []Member `msg:"u"`
	Removed  []Peer   `msg:"r"`
	// Deregistered lists the members of Removed that announced that they were
	// leaving; the leases of the others expired.
	Deregistered []Peer `msg:"l"`
}

// ConfigFetch requests the configuration in force. Have is the index that the sender
// already has, so that the answer can be a difference; zero requests the whole
// configuration.
type ConfigFetch struct {
	Have uint64 `msg:"h"`
}

// ConfigPush carries the configuration at Index: all sections if Base is zero,
// otherwise the sections changed since Base. The receiver ignores a push whose
// Index is not above its own.
type ConfigPush struct {
	Index  uint64 `msg:"i"`
	Digest uint64 `msg:"d"`
	Base   uint64 `msg:"b"`
	// Sections are the sections that differ from Base (or all of them).
	Sections []ConfigSection `msg:"s"`
	// Removed names the sections of Base that no longer exist.
	Removed []string `msg:"r"`
	// Fresh reports, to a process without a configuration, whether the push includes
	// every change that was accepted before the process asked.
	Fresh bool `msg:"f"`
	// Limits are those of callers' requests, in the keys of fleet.ParseLimits. They are
	// whole in each push; control hosts of earlier builds send none.
	Limits []ConfigPair `msg:"l,omitempty"`
}

// ConfigSection is one section of the configuration of a site; the empty site is
// the base configuration.
type ConfigSection struct {
	Site string       `msg:"s"`
	Name string       `msg:"n"`
	Keys []ConfigPair `msg:"k"`
}

// ConfigPair is one key and its value.
type ConfigPair struct {
	Key   string `msg:"k"`
	Value string `msg:"v"`
}

// Claim asks the control hosts to reserve an idempotency key for one run.
type Claim struct {
	// Request is an id that matches the reply to the claim.
	Request uint64 `msg:"q"`
	Team    string `msg:"t"`
	Service string `msg:"s"`
	Key     string `msg:"k"`
	// BodyDigest detects the use of one key for two different requests.
	BodyDigest uint64 `msg:"d"`
	// Owner is the submission that runs if the claim is granted.
	Owner task.SubmissionID `msg:"o"`
	// Keep is how long the claim and its outcome are kept.
	Keep time.Duration `msg:"l"`
}

// ClaimState is the state of an idempotency key at the control hosts.
type ClaimState uint8

// The claim states.
const (
	// ClaimGranted means that the claimant, and no other submission, may run.
	ClaimGranted ClaimState = iota + 1
	// ClaimPending means that another submission holds the key and has no
	// outcome yet.
	ClaimPending
	// ClaimDone means that the outcome is known.
	ClaimDone
	// ClaimMismatch means that the key was used for a different request.
	ClaimMismatch
	// ClaimUnavailable means that there is no decision at present. If RetryAfter
	// is set, nothing was claimed; otherwise the key may have been claimed.
	ClaimUnavailable
)

// ClaimReply answers a Claim or a Resolve. The state ClaimDone in the answer to a
// Resolve confirms that it has been processed.
type ClaimReply struct {
	Request uint64     `msg:"q"`
	State   ClaimState `msg:"s"`
	// Owner is the submission that holds the key.
	Owner task.SubmissionID `msg:"o"`
	// Outcome is set with ClaimDone in the answer to a Claim.
	Outcome *task.Outcome `msg:"u"`
	// RetryAfter is set with ClaimPending, and with ClaimUnavailable if no further
	// claim can be stored. It is zero if the control host got no decision from
	// the replicated state.
	RetryAfter time.Duration `msg:"r"`
}

// Resolve records the outcome of a granted claim. A NotRun outcome releases the
// claim.
type Resolve struct {
	Request uint64            `msg:"q"`
	Team    string            `msg:"t"`
	Service string            `msg:"s"`
	Key     string            `msg:"k"`
	Owner   task.SubmissionID `msg:"o"`
	Outcome task.Outcome      `msg:"u"`
}

// Raft carries one message of the replicated log, encoded by package raft.
type Raft struct {
	// The limit, here and below, equals the frame limit
	// transport.DefaultMaxFrame.
	Body []byte `msg:"b,limit=8388608"`
}

// Propose carries a command for the replicated log, or a membership change of
// the control hosts, from a control host to the leader.
type Propose struct {
	// Request is an id that matches the reply.
	Request uint64        `msg:"q"`
	Command []byte        `msg:"c,limit=8388608"`
	Change  *MemberChange `msg:"m"`
}

// MemberAction is the kind of a MemberChange.
type MemberAction string

// The actions.
const (
	// MemberAdd adds a control host as a learner.
	MemberAdd MemberAction = "add"
	// MemberPromote makes a learner a voter.
	MemberPromote MemberAction = "promote"
	// MemberRemove removes a control host.
	MemberRemove MemberAction = "remove"
)

// MemberChange changes the set of replicas of the log.
type MemberChange struct {
	Action MemberAction `msg:"a"`
	// ID is the replica id, which is generated when the data directory is
	// created.
	ID uint64 `msg:"i"`
	// Addr is the peer address; only MemberAdd uses it.
	Addr string `msg:"d"`
}

// ProposeStatus is the result of a proposal.
type ProposeStatus uint8

// The statuses.
const (
	// ProposeAccepted means that the command is committed and applied.
	ProposeAccepted ProposeStatus = iota + 1
	// ProposeNotLeader means that the command was not accepted because the
	// receiver is not the leader.
	ProposeNotLeader
	// ProposeUnknown means that the command may or may not be committed.
	ProposeUnknown
	// ProposeRefused means that the command was not accepted; Detail gives the
	// reason.
	ProposeRefused
)

// Proposed answers a Propose.
type Proposed struct {
	Request uint64        `msg:"q"`
	Status  ProposeStatus `msg:"s"`
	Index   uint64        `msg:"i"`
	Result  []byte        `msg:"r,limit=8388608"`
	Detail  string        `msg:"d"`
}

// Ping requests a Pong with the same Nonce.
type Ping struct {
	Nonce  uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
}

// Pong answers a Ping.
type Pong struct {
	Nonce  uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
}
