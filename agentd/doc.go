// Package agentd drives the reducer of package agent: it accepts entries over
// QUIC, takes the upstream's announcements over HTTP on loopback, and runs
// tasks at the upstream over HTTP.
package agentd
