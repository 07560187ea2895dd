// Package wire defines the messages between the system's own processes. The
// encoding is MessagePack by generated code; package transport frames it.
//
// Times of day never travel: a message carries durations, and the sender's
// monotonic clock (SentAt) only so that the receiver can tell a message that
// was held up from one that was not.
package wire

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

//go:generate go tool msgp -tests=false -io=false
//msgp:limit arrays:65536 maps:64

// Version is the protocol version that every frame carries.
const Version = 1

// Kind names the type of a frame's message.
type Kind uint8

// The kinds. Numbers are never reused.
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

// Role is what a process is; a certificate names exactly one.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Peer names a process. A restart has the same ID and a new Incarnation.
type Peer struct {
	Role Role `msg:"r"`
	// ID is unique within the fleet and comes from the process's settings.
	ID string `msg:"i"`
	// Incarnation is drawn at start; two runs of a process never share one.
	Incarnation uint64 `msg:"n"`
	// Domain is the failure domain.
	Domain string `msg:"d"`
	// Site is the site whose overlay of the configuration is in force.
	Site string `msg:"s"`
	// Addr is the host:port on which the process listens for its peers.
	Addr string `msg:"a"`
}

// Stamp is the configuration in force at the sender; every frame has one.
type Stamp struct {
	Index  uint64
	Digest uint64
}

// Hello opens a session; the dialling side sends it first. A newer session of
// the same peer incarnation ends the older one: nothing that arrives on the
// older one afterwards is accepted.
type Hello struct {
	From Peer `msg:"f"`
	// Session grows with each dial by the same incarnation.
	Session uint64 `msg:"s"`
	// SentAt is the sender's monotonic clock.
	SentAt time.Duration `msg:"t"`
	// AgentIncarnation is the incarnation of the agent to which Pending belongs;
	// zero at the first dial.
	AgentIncarnation uint64 `msg:"n"`
	// Pending lists the tasks that the entry has sent to that incarnation and
	// knows no outcome of.
	Pending []task.ID `msg:"p"`
}

// Welcome accepts a session.
type Welcome struct {
	From   Peer          `msg:"f"`
	SentAt time.Duration `msg:"t"`
	// Worker describes the upstream behind an agent; nil from other roles.
	Worker *Worker `msg:"w"`
	// Report carries every outcome not yet acknowledged by this entry, and as
	// NotRun (never_received) each pending task that never arrived. Nil from
	// other roles.
	Report *Report `msg:"o"`
}

// Worker describes an upstream and the worker that it runs on.
type Worker struct {
	Service string `msg:"s"`
	// Slots is how many tasks may run at a time; zero while no upstream is
	// announced or while it is draining.
	Slots uint32 `msg:"l"`
	// Connections is how many connections the upstream accepts.
	Connections uint32 `msg:"c"`
	// Offered is what the worker has in all.
	Offered task.Resources `msg:"o"`
	Rack    string         `msg:"k"`
	// Draining is set once the upstream has said that it leaves.
	Draining bool `msg:"d"`
}

// Demand is what an entry still has waiting for a service, so that an agent
// can choose whom to grant a slot without asking.
type Demand struct {
	// Waiting is the number of tasks that would start now if slots were free.
	Waiting uint32 `msg:"w"`
	// Rank is the order of the entry's first waiting task, lowest first.
	Rank float64 `msg:"r"`
}

// Assignment is one task on its way to an agent.
type Assignment struct {
	ID   task.ID   `msg:"i"`
	Team string    `msg:"m"`
	Spec task.Spec `msg:"s"`
	// Rank orders tasks that wait at the agent, lowest first.
	Rank float64 `msg:"r"`
	// StartWithin is the time from sending after which the task must not be
	// started any more.
	StartWithin time.Duration `msg:"w"`
	// RunWithin bounds the time from sending to the end of the run.
	RunWithin time.Duration `msg:"e"`
}

// Update is all that an entry tells an agent: tasks, cancellations,
// acknowledgements and demand in one message.
type Update struct {
	// Seq numbers the updates of a session from 1.
	Seq uint64 `msg:"q"`
	// Ack is the highest Report.Seq handled; it acknowledges the outcomes in
	// every report up to it.
	Ack    uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
	Demand Demand        `msg:"d"`
	Tasks  []Assignment  `msg:"a"`
	Cancel []task.ID     `msg:"c"`
}

// Report is all that an agent tells an entry: outcomes, refusals and credit
// in one message.
type Report struct {
	// Seq numbers the reports to one entry incarnation from 1, over all its
	// sessions.
	Seq uint64 `msg:"q"`
	// Ack is the highest Update.Seq handled in this session.
	Ack    uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
	// Credit is how many more tasks the entry may send, counted from the
	// state after update Seen. It replaces earlier credit.
	Credit uint32 `msg:"c"`
	// Running and Queued are the agent's totals over all entries.
	Running uint32 `msg:"r"`
	Queued  uint32 `msg:"u"`
	// Slots is Worker.Slots now; zero when draining or suspended.
	Slots uint32 `msg:"l"`
	// LogRunTimeRatio is the mean of the logarithm of real over declared run times of the
	// tasks that ended lately at the agent; zero if too few have.
	LogRunTimeRatio float32 `msg:"p"`
	// Worker is set if it offers other resources, or another service, than the
	// session was last told.
	Worker   *Worker  `msg:"k"`
	Outcomes []Result `msg:"o"`
}

// Result is the outcome of one task.
type Result struct {
	ID      task.ID      `msg:"i"`
	Outcome task.Outcome `msg:"o"`
	// WaitTime is how long the task waited at the agent before it started.
	WaitTime time.Duration `msg:"w"`
}

// Announce registers a process with a control host and renews its lease.
type Announce struct {
	From Peer `msg:"f"`
	// Seq grows with every announcement of an incarnation.
	Seq uint64 `msg:"q"`
	// Worker is set by agents with an upstream.
	Worker *Worker `msg:"w"`
	// Lease is how long the announcement holds without renewal.
	Lease time.Duration `msg:"l"`
	// Leaving ends the lease at once.
	Leaving bool `msg:"g"`
	// Watch asks for Directory messages on this connection.
	Watch bool `msg:"a"`
	// Replica is set by control hosts.
	Replica *Replica `msg:"p"`
}

// Replica is the replica of the log that a control host keeps.
type Replica struct {
	// ID is born with the data folder.
	ID uint64 `msg:"i"`
	// Waiting says that the replica belongs to no cluster and asks to be added.
	Waiting bool `msg:"w"`
}

// Announced answers an Announce.
type Announced struct {
	Seq uint64 `msg:"q"`
	// Fresh says that the control host has heard from a quorum lately; one
	// that is cut off says false.
	Fresh bool `msg:"f"`
}

// Member is a live process as the directory knows it.
type Member struct {
	Peer   Peer    `msg:"p"`
	Worker *Worker `msg:"w"`
	// ConfigIndex is the configuration index in force there.
	ConfigIndex uint64 `msg:"c"`
	// Seq is the Announce.Seq from which this is; of two members of one
	// incarnation, the one with the higher Seq is newer.
	Seq uint64 `msg:"q"`
}

// Directory is a difference of the list of members, or all of it.
type Directory struct {
	// Full says that Upserts is the whole list as this control host knows it.
	Full bool `msg:"f"`
	// Complete says that the control host has been up for longer than a lease,
	// so that every live process has had time to announce itself. While it is
	// false, a member that is missing from a Full list may well be alive.
	Complete bool     `msg:"k"`
	Upserts  []Member `msg:"u"`
	Removed  []Peer   `msg:"r"`
	// Deregistered lists those of Removed that said goodbye; the others' leases ran out.
	Deregistered []Peer `msg:"l"`
}

// ConfigFetch asks for the configuration after index Have.
type ConfigFetch struct {
	Have uint64 `msg:"h"`
}

// ConfigPush carries the configuration at Index: Full text when Base is zero,
// else the sections changed since Base. The receiver ignores any Index that
// is not above its own.
type ConfigPush struct {
	Index  uint64 `msg:"i"`
	Digest uint64 `msg:"d"`
	Base   uint64 `msg:"b"`
	// Sections are the sections that differ from Base (or all of them).
	Sections []ConfigSection `msg:"s"`
	// Removed names sections of Base that are gone.
	Removed []string `msg:"r"`
	// Fresh says that the sender has heard from a quorum lately.
	Fresh bool `msg:"f"`
}

// ConfigSection is one section of the configuration, by site ("" is the base).
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

// Claim asks control to reserve an idempotency key for one run.
type Claim struct {
	// Request matches the reply to the claim.
	Request uint64 `msg:"q"`
	Team    string `msg:"t"`
	Service string `msg:"s"`
	Key     string `msg:"k"`
	// BodyDigest guards against one key used for two different requests.
	BodyDigest uint64 `msg:"d"`
	// Owner is the submission that will run if the claim is granted.
	Owner task.SubmissionID `msg:"o"`
	// Keep is how long the claim and its outcome are remembered.
	Keep time.Duration `msg:"l"`
}

// ClaimState is what control knows of an idempotency key.
type ClaimState uint8

// The claim states.
const (
	// ClaimGranted means that the asker, and nobody else, may run.
	ClaimGranted ClaimState = iota + 1
	// ClaimPending means that another submission holds it and has no outcome.
	ClaimPending
	// ClaimDone means that the outcome is known.
	ClaimDone
	// ClaimMismatch means that the key was used for a different request.
	ClaimMismatch
	// ClaimUnavailable means that control can't say now; nothing was claimed.
	ClaimUnavailable
)

// ClaimReply answers a Claim.
type ClaimReply struct {
	Request uint64            `msg:"q"`
	State   ClaimState        `msg:"s"`
	Owner   task.SubmissionID `msg:"o"`
	Outcome *task.Outcome     `msg:"u"`
	// RetryAfter is set with ClaimUnavailable and ClaimPending.
	RetryAfter time.Duration `msg:"r"`
}

// Resolve records the outcome of a granted claim, or frees it (NotRun).
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
	// The limit, here and below, is that of a frame, transport.DefaultMaxFrame.
	Body []byte `msg:"b,limit=8388608"`
}

// Propose carries a command of the replicated log, or a change of the control
// hosts, from a control host to the leader.
type Propose struct {
	// Request matches the reply.
	Request uint64        `msg:"q"`
	Command []byte        `msg:"c,limit=8388608"`
	Change  *MemberChange `msg:"m"`
}

// MemberAction is what a MemberChange does.
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

// MemberChange changes the replicas of the log.
type MemberChange struct {
	Action MemberAction `msg:"a"`
	// ID is the replica id, born with the data folder.
	ID uint64 `msg:"i"`
	// Addr is the peer address; only MemberAdd needs it.
	Addr string `msg:"d"`
}

// ProposeStatus says what became of a proposal.
type ProposeStatus uint8

// The statuses.
const (
	// ProposeAccepted means that the command is committed and applied.
	ProposeAccepted ProposeStatus = iota + 1
	// ProposeNotLeader means that the command was not taken.
	ProposeNotLeader
	// ProposeUnknown means that the command may be committed or not.
	ProposeUnknown
	// ProposeRefused means that the command was not taken and why, in Detail.
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

// Ping asks for a Pong with the same Nonce.
type Ping struct {
	Nonce  uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
}

// Pong answers a Ping.
type Pong struct {
	Nonce  uint64        `msg:"n"`
	SentAt time.Duration `msg:"t"`
}
