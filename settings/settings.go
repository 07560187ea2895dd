// Package settings reads the static settings of one process from an INI file:
// its addresses, failure domain, folders and limits. The configuration of the
// whole fleet is apart from it, in package fleet.
package settings

import (
	"net/netip"
	"time"
)

// Process is what every process of the fleet has.
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
	// Keys is the folder of the process's certificate and key.
	Keys string
	// PeerTimeout is how long an answer of a peer may take before its connection
	// is judged silent.
	PeerTimeout time.Duration
	// SelfSigned makes the process use a certificate of its own and trust
	// every peer; Keys is not read then.
	SelfSigned bool
	// Metrics is the host:port of the metrics page; empty for none.
	Metrics string
}

// Control is the settings of a control host.
type Control struct {
	Process
	// Peers is the UDP host:port for the system's own processes.
	Peers string
	// Admin is the HTTPS host:port for operators.
	Admin string
	// Data is the folder of the replicated log; one process locks it. Empty for
	// a process that keeps no replica.
	Data string
	// Initial lists the peer addresses of the first control hosts.
	Initial []string
	// Join makes an empty data folder join a running cluster as a learner
	// rather than start one with Initial.
	Join bool
	// JoinUnlisted does the same for a host that Initial lacks.
	JoinUnlisted bool
	// PeerPort replaces the ports in Initial if it is not zero.
	PeerPort uint32
	// ElectionTimeout is how long a leader may be silent.
	ElectionTimeout time.Duration
	// Managed lets the leader change the control hosts by itself, for Tolerance
	// lost disks at the same time.
	Managed   bool
	Tolerance uint32
	// Operators is the HTTP host:port of the platform's operators; empty for
	// none.
	Operators string
}

// Entry is the settings of an entry.
type Entry struct {
	Process
	// Callers is the HTTP host:port for callers.
	Callers string
	// Control lists the peer addresses of control hosts.
	Control []string
	// MaxBody bounds a caller's request body, in bytes.
	MaxBody int
	// MaxConnections bounds callers' open connections.
	MaxConnections uint32
	// MaxSubmissions bounds the submissions in flight.
	MaxSubmissions uint32
	// Placement is the placement policy.
	Placement string
	// Order is the order of waiting jobs.
	Order string
	// PeerPort replaces the ports in Control if it is not zero.
	PeerPort uint32
	// Clients and Readiness are HTTP host:ports for the platform's clients and
	// its balancer; empty for none.
	Clients   string
	Readiness string
	// LogJobs writes a line for each decision about a job that ended badly, and
	// one for each answer.
	LogJobs bool
	// DemandFanout is how many agents are told at once of waiting tasks.
	DemandFanout uint32
	// KeepaliveInterval is how often an agent that holds tasks hears from the entry; zero
	// for never.
	KeepaliveInterval time.Duration
	// AgentTimeout is how long an agent may be out of reach before its tasks are
	// given up.
	AgentTimeout time.Duration
}

// Agent is the settings of an agent.
type Agent struct {
	Process
	// Peers is the UDP host:port for entries.
	Peers string
	// Upstream is the loopback HTTP host:port for announcements.
	Upstream string
	// Control lists the peer addresses of control hosts.
	Control []string
	// Rack names the worker's rack.
	Rack string
	// Processors is the worker's count of cores.
	Processors uint32
	// MemoryMB is the worker's memory in units of 1,000,000 bytes.
	MemoryMB uint32
	// Accelerators is the worker's count of accelerators.
	Accelerators uint32
	// Credit is the policy by which free slots are granted to entries.
	Credit string
	// QueueShare is the length of the local queue as a share of the slots.
	QueueShare float64
	// PeerPort replaces the ports in Control if it is not zero.
	PeerPort uint32
	// Heartbeats is the HTTP host:port for the platform's upstream; empty if
	// the upstream is of the product's own kind.
	Heartbeats string
	// LogTasks writes a line for each task that did not complete.
	LogTasks bool
	// OrphanAfter is how long the runs of an entry go on that is not heard
	// from; zero lets them end normally.
	OrphanAfter time.Duration
	// Lease is the longest lease that the platform's upstream gives.
	Lease time.Duration
}

// Upstream is the settings of the stand-in upstream.
type Upstream struct {
	ID string
	// LogLevel and LogFormat are as in Process.
	LogLevel  string
	LogFormat string
	// Tasks is the HTTP host:port for tasks.
	Tasks string
	// Agent is the agent's host:port for announcements.
	Agent string
	// Service is what the upstream offers.
	Service string
	// Slots is how many tasks run at a time.
	Slots uint32
	// Connections is how many connections the upstream accepts.
	Connections uint32
	// Lease is how long an announcement holds without renewal.
	Lease time.Duration
	// Work is sleep or cpu.
	Work string
	// Slowdown multiplies every run time.
	Slowdown float64
	// FailShare is the share of tasks that fail at once.
	FailShare float64
	// Seed seeds the choice of failing tasks.
	Seed uint32
	// Journal is the file to which each start is appended; empty for none.
	Journal string
}

// The placement policies.
const (
	PlacementCredits          = "credits"
	PlacementLeastOutstanding = "least-outstanding"
	PlacementTwoChoices       = "two-choices"
	PlacementRandom           = "random"
)

// The orders of waiting jobs.
const (
	OrderLeftOverSlowdown = "left-over-slowdown"
	OrderLeftOverAge      = "left-over-age"
	OrderFewestLeft       = "fewest-left"
	OrderFIFO             = "fifo"
	OrderUrgent           = "urgent"
)

// The policies of credit.
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
	maxBodyLimit         = 7 << 20
	maxConnections       = 1 << 20
	maxSubmissions       = 1 << 24
	maxSlots             = 1 << 12
	maxCores             = 1 << 12
	maxMemoryMB          = 1 << 26
	maxAccelerators      = 1 << 10
	minLease             = 200 * time.Millisecond
	maxLease             = time.Minute
	minPeerTimeout       = 100 * time.Millisecond
	maxPeerTimeout       = time.Minute
	maxKeepaliveInterval = time.Minute
	maxDemandFanout      = 1 << 12
	maxTolerance         = 4
	minElectionTimeout   = 100 * time.Millisecond
	maxElectionTimeout   = time.Minute
	minRunLease          = 10 * time.Millisecond
	maxPort              = 1<<16 - 1
	maxSlowdown          = 1000
	maxQueueShare        = 1000
	maxSeed              = 1<<32 - 1
)

func peerPort(dst *uint32) key {
	return count(dst, "control", "peer-port", "Port that replaces those in addresses; 0 keeps them.", 0, maxPort).withDefault("0")
}

// ReplacePort returns addresses with another port, or as they are for 0.
func ReplacePort(addrs []string, port uint32) []string {
	if port == 0 {
		return addrs
	}
	out := make([]string, len(addrs))
	for i, a := range addrs {
		// The addresses were checked when they were read.
		out[i] = netip.AddrPortFrom(netip.MustParseAddrPort(a).Addr(), uint16(port)).String()
	}
	return out
}

func logKeys(level, format *string) []key {
	return []key{
		oneOf(level, "process", "log-level", "Lowest level that is logged; read again on SIGHUP.", "debug", "info", "warn", "error").withDefault("info"),
		oneOf(format, "process", "log-format", "Form of log lines.", "text", "json").withDefault("text"),
	}
}

func (p *Process) keys(base string) []key {
	list := []key{
		label(&p.ID, "process", "id", "Name of the process, unique within the fleet; its certificate names it too.").asRequired(),
		label(&p.Domain, "process", "domain", "Failure domain; the certificate names it too.").asRequired(),
		label(&p.Site, "process", "site", "Site whose overlay of the fleet's configuration applies.").asRequired(),
		duration(&p.DrainTimeout, "process", "drain-timeout", "How long a shutdown waits for work in flight.", 0, maxDrainTimeout).withDefault("30s"),
		duration(&p.PeerTimeout, "process", "silence", "How long an answer of a peer may take before its connection is dialled anew.", minPeerTimeout, maxPeerTimeout).withDefault("2s"),
		folder(&p.Keys, base, "keys", "folder", "Folder with ca.crt and process.pem, as written by fireflytray keys issue.").withDefault("keys"),
		boolean(&p.SelfSigned, "keys", "self-signed", "Whether to use a certificate of its own and trust every peer, on a network that hands out no keys and keeps strangers out.").withDefault("false"),
		optionalHostPort(&p.Metrics, "listen", "metrics", "HTTP address of the metrics page.").withDefault(""),
	}
	return append(list, logKeys(&p.LogLevel, &p.LogFormat)...)
}

func (c *Control) keys(base string) []key {
	return append(c.Process.keys(base),
		hostPort(&c.Peers, "listen", "peers", "UDP address for the system's own processes.").asRequired(),
		hostPort(&c.Admin, "listen", "admin", "HTTPS address for operators.").asRequired(),
		optionalFile(&c.Data, base, "data", "folder", "Folder of the replicated log; one process at a time. A process without one keeps no replica and sends the platform's operators to the hosts in initial.").withDefault("data"),
		hostPorts(&c.Initial, "cluster", "initial", "Peer addresses of the first control hosts, this one included unless it joins.").asRequired(),
		boolean(&c.Join, "cluster", "join", "Whether an empty data folder joins a running cluster as a learner.").withDefault("false"),
		boolean(&c.JoinUnlisted, "cluster", "join-unlisted", "Whether a host that initial lacks joins as a learner.").withDefault("false"),
		count(&c.PeerPort, "cluster", "peer-port", "Port that replaces those in initial; 0 keeps them.", 0, maxPort).withDefault("0"),
		duration(&c.ElectionTimeout, "cluster", "election-timeout", "How long a leader may be silent before another is elected.", minElectionTimeout, maxElectionTimeout).withDefault("900ms"),
		boolean(&c.Managed, "cluster", "managed", "Whether the leader adds, promotes and removes control hosts by itself.").withDefault("false"),
		count(&c.Tolerance, "cluster", "tolerance", "Disks that may be lost at the same time without the loss of an accepted change, where managed.", 1, maxTolerance).withDefault("1"),
		optionalHostPort(&c.Operators, "platform", "operators", "HTTP address for the platform's operators.").withDefault(""),
	)
}

func (e *Entry) keys(base string) []key {
	return append(e.Process.keys(base),
		hostPort(&e.Callers, "listen", "callers", "HTTP address for callers.").asRequired(),
		hostPorts(&e.Control, "control", "addresses", "Peer addresses of control hosts.").asRequired(),
		size(&e.MaxBody, "limits", "max-body", "Largest body of a caller's request.", 1, maxBodyLimit).withDefault("4MiB"),
		count(&e.MaxConnections, "limits", "max-connections", "Callers' open connections.", 1, maxConnections).withDefault("10000"),
		count(&e.MaxSubmissions, "limits", "max-submissions", "Requests and jobs in flight.", 1, maxSubmissions).withDefault("100000"),
		oneOf(&e.Placement, "placement", "policy", "How tasks are placed on agents.",
			PlacementCredits, PlacementLeastOutstanding, PlacementTwoChoices, PlacementRandom).withDefault(PlacementCredits),
		oneOf(&e.Order, "placement", "order", "Order of the jobs that wait.",
			OrderLeftOverSlowdown, OrderLeftOverAge, OrderFewestLeft, OrderFIFO, OrderUrgent).withDefault(OrderLeftOverSlowdown),
		peerPort(&e.PeerPort),
		boolean(&e.LogJobs, "process", "log-jobs", "Whether to log each answer, and each decision about jobs that did not complete.").withDefault("true"),
		count(&e.DemandFanout, "agents", "poke", "How many agents are told at once of waiting tasks when there is no credit.", 1, maxDemandFanout).withDefault("3"),
		duration(&e.KeepaliveInterval, "agents", "pulse", "How often an agent that holds tasks hears from this entry at least; 0s for no bound.", 0, maxKeepaliveInterval).withDefault("0s"),
		duration(&e.AgentTimeout, "agents", "gone-after", "How long an agent may be out of reach before its tasks are given up.", minPeerTimeout, maxPeerTimeout).withDefault("4s"),
		optionalHostPort(&e.Clients, "platform", "clients", "HTTP address for the platform's clients.").withDefault(""),
		optionalHostPort(&e.Readiness, "platform", "readiness", "HTTP address for the platform's balancer.").withDefault(""),
	)
}

func (a *Agent) keys(base string) []key {
	return append(a.Process.keys(base),
		hostPort(&a.Peers, "listen", "peers", "UDP address for entries.").asRequired(),
		loopbackHostPort(&a.Upstream, "listen", "upstream", "HTTP address at which the upstream announces itself.").asRequired(),
		hostPorts(&a.Control, "control", "addresses", "Peer addresses of control hosts.").asRequired(),
		label(&a.Rack, "worker", "rack", "Rack of the worker.").asRequired(),
		count(&a.Processors, "worker", "processors", "Cores of the worker.", 1, maxCores).asRequired(),
		count(&a.MemoryMB, "worker", "memory-mb", "Memory of the worker, in units of 1,000,000 bytes.", 1, maxMemoryMB).asRequired(),
		oneOf(&a.Credit, "credit", "policy", "How free slots are granted to entries.",
			CreditLend, CreditSplit, CreditSticky, CreditRank).withDefault(CreditLend),
		number(&a.QueueShare, "credit", "queue-share", "Tasks that may wait at the agent, as a share of the slots.", 0, maxQueueShare).withDefault("0.5"),
		peerPort(&a.PeerPort),
		boolean(&a.LogTasks, "process", "log-tasks", "Whether to log each task that did not complete.").withDefault("true"),
		duration(&a.OrphanAfter, "entries", "orphan-after", "How long the runs of an entry go on that is not heard from; 0s lets them end. Several pulses of the entries.", 0, maxKeepaliveInterval).withDefault("0s"),
		optionalHostPort(&a.Heartbeats, "platform", "heartbeats", "HTTP address at which the platform's upstream reports.").withDefault(""),
		duration(&a.Lease, "platform", "lease", "Longest lease of a run at the platform's upstream.", minRunLease, maxLease).withDefault("1s"),
		count(&a.Accelerators, "worker", "accelerators", "Accelerators of the worker.", 0, maxAccelerators).withDefault("0"),
	)
}

func (u *Upstream) keys(base string) []key {
	return append(logKeys(&u.LogLevel, &u.LogFormat),
		label(&u.ID, "process", "id", "Name of the upstream.").asRequired(),
		hostPort(&u.Tasks, "listen", "tasks", "HTTP address for tasks.").asRequired(),
		loopbackHostPort(&u.Agent, "agent", "address", "The agent's address for announcements.").asRequired(),
		label(&u.Service, "service", "name", "Service that the upstream offers.").asRequired(),
		count(&u.Slots, "service", "slots", "Tasks that run at a time.", 1, maxSlots).withDefault("8"),
		count(&u.Connections, "service", "connections", "Connections that the upstream accepts.", 1, maxConnections).withDefault("64"),
		duration(&u.Lease, "service", "lease", "How long an announcement holds without renewal.", minLease, maxLease).withDefault("3s"),
		oneOf(&u.Work, "behaviour", "work", "What a task does for its run time.", WorkSleep, WorkCPU).withDefault(WorkSleep),
		number(&u.Slowdown, "behaviour", "slowdown", "Factor on every run time.", 0, maxSlowdown).withDefault("1"),
		number(&u.FailShare, "behaviour", "fail-share", "Share of tasks that fail at once.", 0, 1).withDefault("0"),
		count(&u.Seed, "behaviour", "seed", "Seed of the choice of failing tasks.", 0, maxSeed).withDefault("1"),
		optionalFile(&u.Journal, base, "behaviour", "journal", "File to which each start of a task is appended.").withDefault(""),
	)
}
