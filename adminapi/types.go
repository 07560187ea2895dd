// Package adminapi defines the JSON requests and responses of the HTTPS admin
// interface of a control host, and a client for it.
package adminapi

import (
	"fmt"
	"strings"
	"time"
)

// Paths of the admin interface.
const (
	PathCheck    = "/v1/config/check"
	PathDiff     = "/v1/config/diff"
	PathApply    = "/v1/config/apply"
	PathRollback = "/v1/config/rollback"
	PathConfig   = "/v1/config"
	PathStatus   = "/v1/config/status"
	PathHistory  = "/v1/config/history"
	PathAudit    = "/v1/audit"
	PathControl  = "/v1/control"
	PathMembers  = "/v1/control/members"
	PathBackup   = "/v1/control/backup"
	PathRestore  = "/v1/control/restore"
	PathFleet    = "/v1/fleet"

	PathEvacuations = "/v1/evacuations"
)

// HeaderFresh is "false" in an answer of a control host without a fresh quorum.
const HeaderFresh = "Fireflytray-Fresh"

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 64 << 20

// Source is one INI file: the base (Site "") or the overlay of a site.
type Source struct {
	Site string `json:"site"`
	File string `json:"file"`
	Text string `json:"text"`
}

// ConfigRequest carries a whole configuration to be checked or compared.
type ConfigRequest struct {
	Sources []Source `json:"sources"`
}

// Difference lists the changes of a configuration relative to the active one.
type Difference struct {
	// Base is the active version.
	Base     uint64          `json:"base"`
	Digest   string          `json:"digest"`
	Sections []SectionChange `json:"sections"`
}

// SectionChange is one section that was added, changed or removed.
type SectionChange struct {
	Site    string `json:"site"`
	Section string `json:"section"`
	// Change is added, changed or removed.
	Change string      `json:"change"`
	Keys   []KeyChange `json:"keys"`
}

// KeyChange is one changed key. An empty value means that the key is absent.
type KeyChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// ApplyRequest replaces the configuration.
type ApplyRequest struct {
	// Op is the operation id; a repeated request with the same id returns the
	// answer to the first one.
	Op string `json:"op"`
	// Base is the version that the change is based on and replaces.
	Base    uint64   `json:"base"`
	Sources []Source `json:"sources"`
}

// RollbackRequest creates a new version with the content of version To.
type RollbackRequest struct {
	Op   string `json:"op"`
	Base uint64 `json:"base"`
	To   uint64 `json:"to"`
}

// ChangeReply is the response to an ApplyRequest or RollbackRequest.
type ChangeReply struct {
	Accepted bool   `json:"accepted"`
	Refusal  string `json:"refusal,omitempty"`
	Detail   string `json:"detail"`
	Index    uint64 `json:"index,omitempty"`
	Digest   string `json:"digest,omitempty"`
	// Winner is the active version that a refused change conflicts with.
	Winner *Version `json:"winner,omitempty"`
	// Resent is set if this is the stored answer to an earlier request with the
	// same operation id.
	Resent bool `json:"resent,omitempty"`
}

// Version is one version of the configuration.
type Version struct {
	Index   uint64    `json:"index"`
	Digest  string    `json:"digest"`
	Base    uint64    `json:"base"`
	Op      string    `json:"op"`
	By      string    `json:"by"`
	From    string    `json:"from"`
	At      time.Time `json:"at"`
	Action  string    `json:"action"`
	Changed []string  `json:"changed"`
}

// ConfigReply is the text of one version.
type ConfigReply struct {
	Index   uint64   `json:"index"`
	Digest  string   `json:"digest"`
	Sources []Source `json:"sources"`
	// Evacuated lists the failure domains that this version evacuates. They are part
	// of its digest but not of its sources.
	Evacuated []string `json:"evacuated,omitempty"`
}

// HistoryReply lists versions, newest first.
type HistoryReply struct {
	Fresh    bool      `json:"fresh"`
	Versions []Version `json:"versions"`
}

// ConfigStatus describes at which sites and processes the active version has
// been applied.
type ConfigStatus struct {
	// Fresh is false if this control host has no quorum; the data may then be
	// outdated.
	Fresh bool `json:"fresh"`
	// Complete is set once every live process has applied Version.Index, or the
	// index given in the query, or a later version.
	Complete bool    `json:"complete"`
	Version  Version `json:"version"`
	Sites    []Site  `json:"sites"`
}

// Site is the rollout state of one site.
type Site struct {
	Site      string `json:"site"`
	Processes int    `json:"processes"`
	// InForce is the number of processes that have applied the version that the
	// request asks for, or a later one.
	InForce int `json:"in_force"`
	// Lowest is the lowest configuration index of any process at the site.
	Lowest uint64 `json:"lowest"`
	// Behind lists the other processes.
	Behind []Process `json:"behind"`
}

// Process is a live process.
type Process struct {
	Role        string `json:"role"`
	ID          string `json:"id"`
	Domain      string `json:"domain"`
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"incarnation"`
	Index       uint64 `json:"index"`
	// Evacuated is set if the process is in an evacuated failure domain.
	Evacuated bool `json:"evacuated,omitempty"`
	// The following fields are set only for agents with an upstream.
	Service     string `json:"service,omitempty"`
	Slots       uint32 `json:"slots,omitempty"`
	Connections uint32 `json:"connections,omitempty"`
	Rack        string `json:"rack,omitempty"`
	Draining    bool   `json:"draining,omitempty"`
}

// FleetReply lists the live processes that a control host knows.
type FleetReply struct {
	Fresh     bool      `json:"fresh"`
	Index     uint64    `json:"index"`
	Processes []Process `json:"processes"`
}

// EvacuationRequest evacuates a failure domain, or takes it back if Evacuated is
// false. A repeated request changes nothing.
type EvacuationRequest struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
}

// EvacuationReply is the response to an accepted EvacuationRequest.
type EvacuationReply struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
	// Index is the version in force that holds the order.
	Index  uint64 `json:"index"`
	Detail string `json:"detail"`
}

// EvacuationsReply lists the evacuated failure domains, sorted by name.
type EvacuationsReply struct {
	Fresh       bool         `json:"fresh"`
	Index       uint64       `json:"index"`
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is an evacuated failure domain.
type Evacuation struct {
	Domain string    `json:"domain"`
	By     string    `json:"by"`
	From   string    `json:"from"`
	At     time.Time `json:"at"`
	// Version is the version that evacuated the domain.
	Version uint64 `json:"version"`
	// Processes is the number of live processes in the domain.
	Processes int `json:"processes"`
	// Behind is the number of live processes anywhere that have an older version.
	Behind int `json:"behind"`
}

// AuditReply lists audit entries, oldest first.
type AuditReply struct {
	Fresh bool `json:"fresh"`
	// Verified reports whether the hash chain over all retained entries is
	// intact; if not, Problem says where it breaks.
	Verified bool         `json:"verified"`
	Problem  string       `json:"problem,omitempty"`
	Entries  []AuditEntry `json:"entries"`
}

// AuditEntry records one operator action.
type AuditEntry struct {
	Seq      uint64    `json:"seq"`
	Index    uint64    `json:"index"`
	At       time.Time `json:"at"`
	By       string    `json:"by"`
	From     string    `json:"from"`
	Action   string    `json:"action"`
	Op       string    `json:"op,omitempty"`
	Detail   string    `json:"detail"`
	Accepted bool      `json:"accepted"`
	Reason   string    `json:"reason,omitempty"`
	Digest   string    `json:"digest"`
	Prev     string    `json:"prev"`
	Hash     string    `json:"hash"`
}

// ControlReply describes the control hosts from the view of the one that answers.
type ControlReply struct {
	// Replica is the replica id of the answering host.
	Replica string `json:"replica"`
	Leader  string `json:"leader"`
	Fresh   bool   `json:"fresh"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Only the leader sets Match and Live of the members.
	Members []ControlMember `json:"members"`
}

// ControlMember is one control host of the cluster.
type ControlMember struct {
	Replica string `json:"replica"`
	Addr    string `json:"addr"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	Match   uint64 `json:"match"`
	Live    bool   `json:"live"`
}

// MemberRequest changes the membership of the control cluster.
type MemberRequest struct {
	// Action is add, promote or remove.
	Action  string `json:"action"`
	Replica string `json:"replica"`
	// Addr is the peer address; required only for add.
	Addr string `json:"addr,omitempty"`
}

// RestoreReply is the response to a restore.
type RestoreReply struct {
	// Index is the version number of the restored configuration.
	Index uint64 `json:"index"`
}

// Problem is an error response (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Problems lists all errors found in a configuration.
	Problems []string `json:"problems,omitempty"`
}

// Error returns the detail and the problems, one per line.
func (p *Problem) Error() string {
	return strings.Join(append([]string{p.Detail}, p.Problems...), "\n")
}

// Problem types.
const (
	TypeInvalid    = "urn:fireflytray:invalid"
	TypeNotFound   = "urn:fireflytray:not-found"
	TypeNotFresh   = "urn:fireflytray:no-quorum"
	TypeUnknown    = "urn:fireflytray:outcome-unknown"
	TypeRefused    = "urn:fireflytray:refused"
	TypeBadRequest = "urn:fireflytray:bad-request"
)

// FormatDigest formats a digest or replica id as 16 hexadecimal digits.
func FormatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }
