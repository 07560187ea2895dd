// Package settings reads the static settings of one process from an INI file:
// its addresses, failure domain, folders and limits. Package fleet holds the
// configuration that the whole fleet shares.
package settings

import (
	"net/netip"
	"time"
)

// Process holds the settings that all processes of the fleet share.
type Process struct {
	ID     string
	Domain string
	Site   string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// LogFormat is text or json.
	LogFormat string
	// DrainTimeout bounds how long a shutdown waits for work in flight.
	DrainTimeout time.Duration
	// Keys is the folder that holds the certificate and key of the process.
	Keys string
	// PeerTimeout bounds the wait for an answer of a peer; after it the
	// connection is considered dead and is dialled again.
	PeerTimeout time.Duration
	// SelfSigned makes the process generate a self-signed certificate and trust
	// every peer; Keys is ignored.
	SelfSigned bool
	// Metrics is the host:port of the metrics page; empty disables it.
	Metrics string
}

// Control holds the settings of a control host.
type Control struct {
	Process
	// Peers is the UDP host:port for other processes of the fleet.
	Peers string
	// Admin is the HTTPS host:port for operators.
	Admin string
	// MemoryTarget is the memory from which the process collects garbage as soon as there
	// is some, in bytes.
	MemoryTarget int
	// Data is the folder of the replicated log, locked by one process at a time.
	// It is empty for a process without a replica.
	Data string
	// Initial lists the peer addresses of the initial control hosts.
	Initial []string
	// Join makes a host with an empty data folder join a running cluster as a
	// learner instead of bootstrapping a cluster from Initial.
	Join bool
	// JoinUnlisted does the same, but only if Initial lacks the host's address.
	JoinUnlisted bool
	// PeerPort replaces the ports in Initial unless it is zero.
	PeerPort uint32
	// ElectionTimeout is how long followers wait for a message of the leader
	// before they start an election.
	ElectionTimeout time.Duration
	// Managed lets the leader add, promote and remove control hosts so that the
	// cluster survives the simultaneous loss of Tolerance disks.
	Managed   bool
	Tolerance uint32
	// Operators is the HTTP host:port for the platform's operators; empty
	// disables it.
	Operators string
}

// Entry holds the settings of an entry.
type Entry struct {
	Process
	// Callers is the HTTP host:port for callers.
	Callers string
	// Control lists the peer addresses of control hosts.
	Control []string
	// MaxBody bounds the body of a caller's request, in bytes.
	MaxBody int
	// MaxConnections bounds the open connections of callers and clients.
	MaxConnections uint32
	// MaxReading bounds the bodies of the requests that are read or answered, in bytes.
	MaxReading int
	// MemoryTarget is that of Control.
	MemoryTarget int
	// MaxSubmissions bounds the submissions in flight.
	MaxSubmissions uint32
	// MaxBytes bounds the size of the submissions in flight.
	MaxBytes int
	// Placement is one of the Placement constants.
	Placement string
	// Order is one of the Order constants.
	Order string
	// Speeds makes placement heed the speeds of upstreams.
	Speeds bool
	// ShedAbove is the median time of agents to an answer above which the entry
	// sheds load; zero disables this.
	ShedAbove time.Duration
	// CrashOnset is the time from the start of a task within which it is expected to
	// crash its upstream, if it does.
	CrashOnset time.Duration
	// QuarantineShare is the share of a service's agents to which a kind of tasks that
	// crash upstreams is confined; zero confines none.
	QuarantineShare float64
	// PeerPort replaces the ports in Control unless it is zero.
	PeerPort uint32
	// Clients and Readiness are the HTTP host:ports for the platform's clients
	// and its load balancer; an empty one is disabled.
	Clients   string
	Readiness string
	// HoldUnconfigured is how long a request of the platform's clients may wait
	// for the entry's first configuration and agent; zero holds none.
	HoldUnconfigured time.Duration
	// LogJobs enables a log line for each answer and for each decision about a
	// job that did not complete.
	LogJobs bool
	// DemandFanout is how many agents are notified at once of waiting tasks.
	DemandFanout uint32
	// KeepaliveInterval is the longest time between messages to an agent that
	// holds tasks; zero disables keepalives.
	KeepaliveInterval time.Duration
	// AgentTimeout is how long an agent may be unreachable before its tasks are
	// abandoned.
	AgentTimeout time.Duration
	// Dials bounds the dials of agents in flight; zero means no bound.
	Dials uint32
}

// Agent holds the settings of an agent.
type Agent struct {
	Process
	// Peers is the UDP host:port for entries.
	Peers string
	// Upstream is the loopback HTTP host:port for announcements.
	Upstream string
	// MemoryTarget is that of Control.
	MemoryTarget int
	// Control lists the peer addresses of control hosts.
	Control []string
	// Rack names the worker's rack.
	Rack string
	// Processors is the number of cores of the worker.
	Processors uint32
	// MemoryMB is the memory of the worker, in units of 1,000,000 bytes.
	MemoryMB uint32
	// Accelerators is the number of accelerators of the worker.
	Accelerators uint32
	// Credit is the policy that grants free slots to entries.
	Credit string
	// QueueShare is the length of the local queue as a share of the slots.
	QueueShare float64
	// PeerPort replaces the ports in Control unless it is zero.
	PeerPort uint32
	// Heartbeats is the HTTP host:port for heartbeats of the platform's
	// upstream; empty if the upstream announces itself at Upstream.
	Heartbeats string
	// LogTasks enables log lines for the start of each run, each stop and the end of
	// each task.
	LogTasks bool
	// OrphanAfter is how long tasks keep running after the last message of their
	// entry; zero lets them finish.
	OrphanAfter time.Duration
	// Lease is the longest lease of a run at the platform's upstream.
	Lease time.Duration
}

// Upstream holds the settings of the stand-in upstream.
type Upstream struct {
	ID string
	// LogLevel and LogFormat are as in Process.
	LogLevel  string
	LogFormat string
	// Tasks is the HTTP host:port for tasks.
	Tasks string
	// Agent is the host:port at which the agent accepts announcements.
	Agent string
	// Service is the name of the service that the upstream offers.
	Service string
	// Slots bounds the tasks that run concurrently.
	Slots uint32
	// Connections bounds the connections that the upstream accepts.
	Connections uint32
	// Lease is how long an announcement is valid without renewal.
	Lease time.Duration
	// Work is sleep or cpu.
	Work string
	// Slowdown multiplies every run time.
	Slowdown float64
	// FailShare is the share of tasks that fail at once.
	FailShare float64
	// Seed initialises the random choice of failing tasks.
	Seed uint32
	// Journal is the file to which each task start is appended; empty disables
	// it.
	Journal string
}

// The placement policies. Package entry/placement implements them.
const (
	PlacementCredits          = "credits"
	PlacementLeastOutstanding = "least-outstanding"
	PlacementTwoChoices       = "two-choices"
	PlacementRandom           = "random"
)

// The orders of waiting jobs. Package entry/queue implements them.
const (
	OrderLeftOverSlowdown = "left-over-slowdown"
	OrderLeftOverAge      = "left-over-age"
	OrderFewestLeft       = "fewest-left"
	OrderFIFO             = "fifo"
	OrderUrgent           = "urgent"
)

// The credit policies. Package agent implements them.
const (
	CreditLend   = "lend"
	CreditSplit  = "split"
	CreditSticky = "sticky"
	CreditRank   = "rank"
)

// The kinds of work of the stand-in upstream.
const (
	WorkSleep = "sleep"
	WorkCPU   = "cpu"
)

const (
	maxDrainTimeout      = 10 * time.Minute
	maxBodyLimit         = 7 << 20 // bytes
	maxBytesLimit        = 1 << 40 // bytes
	minReading           = 8 << 20 // bytes, above the largest body
	maxConnections       = 1 << 20
	maxSubmissions       = 1 << 24
	maxSlots             = 1 << 12
	maxCores             = 1 << 12
	maxMemoryMB          = 1 << 26
	minMemoryTarget      = 32 << 20 // bytes
	maxMemoryTarget      = 1 << 40  // bytes
	maxAccelerators      = 1 << 10
	minLease             = 200 * time.Millisecond
	maxLease             = time.Minute
	minPeerTimeout       = 100 * time.Millisecond
	maxPeerTimeout       = time.Minute
	maxKeepaliveInterval = time.Minute
	maxShedAbove         = time.Minute
	minCrashOnset        = time.Millisecond
	maxCrashOnset        = time.Second
	maxQuarantineShare   = 0.5
	maxDemandFanout      = 1 << 12
	maxDials             = 1 << 12
	maxHold              = 10 * time.Second
	maxTolerance         = 4
	minElectionTimeout   = 100 * time.Millisecond
	maxElectionTimeout   = time.Minute
	minRunLease          = 10 * time.Millisecond
	maxPort              = 1<<16 - 1
	maxSlowdown          = 1000
	maxQueueShare        = 1000
	maxSeed              = 1<<32 - 1
)

func memoryTarget(dst *int, fallback string) key {
	return size(dst, "process", "memory-target", "Memory from which the process collects garbage as soon as there is some. The bounds of what it keeps leave room below the default; a host with less memory needs less.", minMemoryTarget, maxMemoryTarget).withDefault(fallback)
}

func peerPort(dst *uint32) key {
	return count(dst, "control", "peer-port", "Port that replaces the ports in addresses; 0 keeps them.", 0, maxPort).withDefault("0")
}

// ReplacePort returns addrs with their ports replaced by port, or addrs itself
// if port is 0.
func ReplacePort(addrs []string, port uint32) []string {
	if port == 0 {
		return addrs
	}
	out := make([]string, len(addrs))
	for i, a := range addrs {
		// MustParseAddrPort does not panic: loading validated the addresses.
		out[i] = netip.AddrPortFrom(netip.MustParseAddrPort(a).Addr(), uint16(port)).String()
	}
	return out
}

func logKeys(level, format *string) []key {
	return []key{
		oneOf(level, "process", "log-level", "Lowest level that is logged; reloaded on SIGHUP.", "debug", "info", "warn", "error").withDefault("info"),
		oneOf(format, "process", "log-format", "Format of log lines.", "text", "json").withDefault("text"),
	}
}

func (p *Process) keys(base string) []key {
	list := []key{
		label(&p.ID, "process", "id", "Name of the process, unique within the fleet; its certificate must contain the same name.").asRequired(),
		label(&p.Domain, "process", "domain", "Failure domain; the certificate must contain the same name.").asRequired(),
		label(&p.Site, "process", "site", "Site whose overlay of the fleet's configuration applies.").asRequired(),
		duration(&p.DrainTimeout, "process", "drain-timeout", "How long a shutdown waits for work in flight.", 0, maxDrainTimeout).withDefault("30s"),
		duration(&p.PeerTimeout, "process", "silence", "How long an answer of a peer may take before its connection is considered dead and is dialled again.", minPeerTimeout, maxPeerTimeout).withDefault("2s"),
		folder(&p.Keys, base, "keys", "folder", "Folder with ca.crt and process.pem, as written by fireflytray keys issue.").withDefault("keys"),
		boolean(&p.SelfSigned, "keys", "self-signed", "Whether to use a self-signed certificate and trust every peer. Only for a network that distributes no keys and restricts access by other means.").withDefault("false"),
		optionalHostPort(&p.Metrics, "listen", "metrics", "HTTP address of the metrics page.").withDefault(""),
	}
	return append(list, logKeys(&p.LogLevel, &p.LogFormat)...)
}

func (c *Control) keys(base string) []key {
	return append(c.Process.keys(base),
		hostPort(&c.Peers, "listen", "peers", "UDP address for other processes of the fleet.").asRequired(),
		hostPort(&c.Admin, "listen", "admin", "HTTPS address for operators.").asRequired(),
		memoryTarget(&c.MemoryTarget, "192MiB"),
		optionalFile(&c.Data, base, "data", "folder", "Folder of the replicated log, used by one process at a time. If it is empty, the process keeps no replica and redirects the platform's operators to the hosts in initial.").withDefault("data"),
		hostPorts(&c.Initial, "cluster", "initial", "Peer addresses of the initial control hosts, including this one unless it joins; reloaded on SIGHUP, as addresses to dial only.").asRequired(),
		boolean(&c.Join, "cluster", "join", "Whether an empty data folder joins a running cluster as a learner.").withDefault("false"),
		boolean(&c.JoinUnlisted, "cluster", "join-unlisted", "Whether a host whose address is not in initial joins as a learner.").withDefault("false"),
		count(&c.PeerPort, "cluster", "peer-port", "Port that replaces the ports in initial; 0 keeps them.", 0, maxPort).withDefault("0"),
		duration(&c.ElectionTimeout, "cluster", "election-timeout", "How long followers wait for a message of the leader before they start an election.", minElectionTimeout, maxElectionTimeout).withDefault("900ms"),
		boolean(&c.Managed, "cluster", "managed", "Whether the leader adds, promotes and removes control hosts automatically.").withDefault("false"),
		count(&c.Tolerance, "cluster", "tolerance", "Number of disks that may be lost at the same time without the loss of an accepted change; used if managed is true.", 1, maxTolerance).withDefault("1"),
		optionalHostPort(&c.Operators, "platform", "operators", "HTTP address for the platform's operators.").withDefault(""),
	)
}

func (e *Entry) keys(base string) []key {
	return append(e.Process.keys(base),
		hostPort(&e.Callers, "listen", "callers", "HTTP address for callers.").asRequired(),
		hostPorts(&e.Control, "control", "addresses", "Peer addresses of control hosts; reloaded on SIGHUP.").asRequired(),
		size(&e.MaxBody, "limits", "max-body", "Largest body of a caller's request.", 1, maxBodyLimit).withDefault("4MiB"),
		count(&e.MaxConnections, "limits", "max-connections", "Maximum number of open connections of callers and of the platform's clients. At the bound, the one that has waited longest for a request is closed for a new one. Each takes up to 50 KB, and a descriptor.", 1, maxConnections).withDefault("2000"),
		size(&e.MaxReading, "limits", "max-reading", "Largest size of the bodies of requests that are read or answered, not counting those up to 8 KiB. At the bound, a request that has stalled is closed for another, or else the other is refused as not run.", minReading, maxBytesLimit).withDefault("16MiB"),
		memoryTarget(&e.MemoryTarget, "192MiB"),
		size(&e.MaxBytes, "limits", "max-bytes", "Largest size of the requests and jobs in flight: payloads, answers that wait for the rest of their job, and 512 bytes a task. Further ones are refused.", 1, maxBytesLimit).withDefault("256MiB"),
		count(&e.MaxSubmissions, "limits", "max-submissions", "Maximum number of requests and jobs in flight.", 1, maxSubmissions).withDefault("100000"),
		oneOf(&e.Placement, "placement", "policy", "How tasks are placed on agents.",
			PlacementCredits, PlacementLeastOutstanding, PlacementTwoChoices, PlacementRandom).withDefault(PlacementCredits),
		oneOf(&e.Order, "placement", "order", "Order of waiting jobs.",
			OrderLeftOverSlowdown, OrderLeftOverAge, OrderFewestLeft, OrderFIFO, OrderUrgent).withDefault(OrderLeftOverSlowdown),
		boolean(&e.Speeds, "placement", "speeds", "Whether tasks that only the faster upstreams end within the job's latency objective are placed on these; needs policy credits.").withDefault("false"),
		duration(&e.ShedAbove, "limits", "shed-above", "Median time of agents to an answer above which this entry is short of processor or link: it closes some connections of the platform's clients after an answer, so that they use another entry, and refuses jobs that can't start in time. 0s disables this.", 0, maxShedAbove).withDefault("0s"),
		duration(&e.CrashOnset, "crashes", "onset", "Time from its start within which a task that crashes its upstream is expected to do so. Around the next start of a task under which an upstream has crashed, no other starts there for that long.", minCrashOnset, maxCrashOnset).withDefault("25ms"),
		number(&e.QuarantineShare, "crashes", "quarantine-share", "Share of a service's agents on which the tasks of a route may run while these crash upstreams, so that other routes keep the rest; 0 confines none.", 0, maxQuarantineShare).withDefault("0"),
		peerPort(&e.PeerPort),
		boolean(&e.LogJobs, "process", "log-jobs", "Whether to log each answer and each decision about jobs that did not complete.").withDefault("true"),
		count(&e.DemandFanout, "agents", "poke", "How many agents are notified at once of waiting tasks when no agent has credit.", 1, maxDemandFanout).withDefault("3"),
		duration(&e.KeepaliveInterval, "agents", "pulse", "Longest time between messages from this entry to an agent that holds tasks; 0s disables keepalives.", 0, maxKeepaliveInterval).withDefault("0s"),
		duration(&e.AgentTimeout, "agents", "gone-after", "How long an agent may be unreachable before its tasks are abandoned.", minPeerTimeout, maxPeerTimeout).withDefault("4s"),
		count(&e.Dials, "agents", "dials", "Largest number of agents that are dialled at the same time, those first that waiting jobs need; 0 dials all at once.", 0, maxDials).withDefault("0"),
		optionalHostPort(&e.Clients, "platform", "clients", "HTTP address for the platform's clients.").withDefault(""),
		optionalHostPort(&e.Readiness, "platform", "readiness", "HTTP address for the platform's load balancer.").withDefault(""),
		duration(&e.HoldUnconfigured, "platform", "hold-unconfigured", "How long a client's request may wait, after the start of the entry, for its first configuration and the first agent of its service; 0s refuses it at once.", 0, maxHold).withDefault("0s"),
	)
}

func (a *Agent) keys(base string) []key {
	return append(a.Process.keys(base),
		memoryTarget(&a.MemoryTarget, "96MiB"),
		hostPort(&a.Peers, "listen", "peers", "UDP address for entries.").asRequired(),
		loopbackHostPort(&a.Upstream, "listen", "upstream", "HTTP address at which the upstream announces itself.").asRequired(),
		hostPorts(&a.Control, "control", "addresses", "Peer addresses of control hosts; reloaded on SIGHUP.").asRequired(),
		label(&a.Rack, "worker", "rack", "Rack of the worker.").asRequired(),
		count(&a.Processors, "worker", "processors", "Number of cores of the worker.", 1, maxCores).asRequired(),
		count(&a.MemoryMB, "worker", "memory-mb", "Memory of the worker, in units of 1,000,000 bytes.", 1, maxMemoryMB).asRequired(),
		oneOf(&a.Credit, "credit", "policy", "How free slots are granted to entries.",
			CreditLend, CreditSplit, CreditSticky, CreditRank).withDefault(CreditLend),
		number(&a.QueueShare, "credit", "queue-share", "Number of tasks that may wait at the agent, as a share of the slots.", 0, maxQueueShare).withDefault("0.5"),
		peerPort(&a.PeerPort),
		boolean(&a.LogTasks, "process", "log-tasks", "Whether to log the start of each run, each stop and the end of each task.").withDefault("true"),
		duration(&a.OrphanAfter, "entries", "orphan-after", "How long tasks keep running after the last message of their entry; 0s lets them finish. Set it to several times the pulse of the entries.", 0, maxKeepaliveInterval).withDefault("0s"),
		optionalHostPort(&a.Heartbeats, "platform", "heartbeats", "HTTP address for heartbeats of the platform's upstream.").withDefault(""),
		duration(&a.Lease, "platform", "lease", "Longest lease of a run at the platform's upstream.", minRunLease, maxLease).withDefault("1s"),
		count(&a.Accelerators, "worker", "accelerators", "Number of accelerators of the worker.", 0, maxAccelerators).withDefault("0"),
	)
}

func (u *Upstream) keys(base string) []key {
	return append(logKeys(&u.LogLevel, &u.LogFormat),
		label(&u.ID, "process", "id", "Name of the upstream.").asRequired(),
		hostPort(&u.Tasks, "listen", "tasks", "HTTP address for tasks.").asRequired(),
		loopbackHostPort(&u.Agent, "agent", "address", "Address at which the agent accepts announcements.").asRequired(),
		label(&u.Service, "service", "name", "Service that the upstream offers.").asRequired(),
		count(&u.Slots, "service", "slots", "Maximum number of tasks that run concurrently.", 1, maxSlots).withDefault("8"),
		count(&u.Connections, "service", "connections", "Maximum number of connections that the upstream accepts.", 1, maxConnections).withDefault("64"),
		duration(&u.Lease, "service", "lease", "How long an announcement is valid without renewal.", minLease, maxLease).withDefault("3s"),
		oneOf(&u.Work, "behaviour", "work", "What a task does during its run time.", WorkSleep, WorkCPU).withDefault(WorkSleep),
		number(&u.Slowdown, "behaviour", "slowdown", "Factor that multiplies every run time.", 0, maxSlowdown).withDefault("1"),
		number(&u.FailShare, "behaviour", "fail-share", "Share of tasks that fail immediately.", 0, 1).withDefault("0"),
		count(&u.Seed, "behaviour", "seed", "Seed of the random choice of failing tasks.", 0, maxSeed).withDefault("1"),
		optionalFile(&u.Journal, base, "behaviour", "journal", "File to which each start of a task is appended.").withDefault(""),
	)
}
