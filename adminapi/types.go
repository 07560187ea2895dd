// Package adminapi holds the requests and answers of the operators' HTTPS
// interface of a control host, as JSON, and a client for it.
package adminapi

import (
	"fmt"
	"strings"
	"time"
)

// The paths.
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
)

// HeaderFresh is "false" in an answer of a control host without a fresh quorum.
const HeaderFresh = "Fireflytray-Fresh"

// MaxBody bounds a request, in bytes.
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

// Difference is what a configuration changes against the one in force.
type Difference struct {
	// Base is the version in force.
	Base     uint64          `json:"base"`
	Digest   string          `json:"digest"`
	Sections []SectionChange `json:"sections"`
}

// SectionChange is one section that is new, gone or differs.
type SectionChange struct {
	Site    string `json:"site"`
	Section string `json:"section"`
	// Change is added, changed or removed.
	Change string      `json:"change"`
	Keys   []KeyChange `json:"keys"`
}

// KeyChange is one key that differs; an empty value stands for none.
type KeyChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// ApplyRequest replaces the configuration.
type ApplyRequest struct {
	// Op is the operation id; a resend with the same id gets the first answer.
	Op string `json:"op"`
	// Base is the version that the change replaces.
	Base    uint64   `json:"base"`
	Sources []Source `json:"sources"`
}

// RollbackRequest makes a new version with the content of version To.
type RollbackRequest struct {
	Op   string `json:"op"`
	Base uint64 `json:"base"`
	To   uint64 `json:"to"`
}

// ChangeReply answers a change.
type ChangeReply struct {
	Accepted bool   `json:"accepted"`
	Refusal  string `json:"refusal,omitempty"`
	Detail   string `json:"detail"`
	Index    uint64 `json:"index,omitempty"`
	Digest   string `json:"digest,omitempty"`
	// Winner is the version in force to which a refused change lost.
	Winner *Version `json:"winner,omitempty"`
	// Resent is set if the answer is that of an earlier request with the same
	// operation id.
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
}

// HistoryReply lists versions, newest first.
type HistoryReply struct {
	Fresh    bool      `json:"fresh"`
	Versions []Version `json:"versions"`
}

// ConfigStatus says where the version in force is in force.
type ConfigStatus struct {
	// Fresh is false if this control host is cut off; then all may be old.
	Fresh bool `json:"fresh"`
	// Complete is set once every reachable process has Version.Index or more.
	Complete bool    `json:"complete"`
	Version  Version `json:"version"`
	Sites    []Site  `json:"sites"`
}

// Site is the state of one site.
type Site struct {
	Site      string `json:"site"`
	Processes int    `json:"processes"`
	InForce   int    `json:"in_force"`
	// Lowest is the lowest index in force at the site.
	Lowest uint64    `json:"lowest"`
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
	// The rest is set for agents with an upstream.
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

// AuditReply lists audit entries, oldest first.
type AuditReply struct {
	Fresh bool `json:"fresh"`
	// Verified says that the hash chain of all entries kept is whole; Problem
	// says where it is not.
	Verified bool         `json:"verified"`
	Problem  string       `json:"problem,omitempty"`
	Entries  []AuditEntry `json:"entries"`
}

// AuditEntry is one operator's action.
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

// ControlReply describes the control hosts as one of them sees them.
type ControlReply struct {
	// Replica is the id of the answering host's replica.
	Replica string `json:"replica"`
	Leader  string `json:"leader"`
	Fresh   bool   `json:"fresh"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	// Match and Live of the members are known to the leader only.
	Members []ControlMember `json:"members"`
}

// ControlMember is one control host.
type ControlMember struct {
	Replica string `json:"replica"`
	Addr    string `json:"addr"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	Match   uint64 `json:"match"`
	Live    bool   `json:"live"`
}

// MemberRequest changes the control hosts.
type MemberRequest struct {
	// Action is add, promote or remove.
	Action  string `json:"action"`
	Replica string `json:"replica"`
	// Addr is the peer address; only add needs it.
	Addr string `json:"addr,omitempty"`
}

// RestoreReply answers a restore.
type RestoreReply struct {
	// Index is the version under which the restored configuration is in force.
	Index uint64 `json:"index"`
}

// Problem is an error answer (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Problems lists each error of a configuration.
	Problems []string `json:"problems,omitempty"`
}

// Error returns the detail and every problem, one a line.
func (p *Problem) Error() string {
	return strings.Join(append([]string{p.Detail}, p.Problems...), "\n")
}

// The types of problems.
const (
	TypeInvalid    = "urn:fireflytray:invalid"
	TypeNotFound   = "urn:fireflytray:not-found"
	TypeNotFresh   = "urn:fireflytray:no-quorum"
	TypeUnknown    = "urn:fireflytray:outcome-unknown"
	TypeRefused    = "urn:fireflytray:refused"
	TypeBadRequest = "urn:fireflytray:bad-request"
)

// FormatDigest writes a digest or replica id.
func FormatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }
