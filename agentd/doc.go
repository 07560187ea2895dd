// Package agentd drives the reducer of package agent: it accepts connections of
// entries over QUIC, receives the upstream's announcements over HTTP on loopback,
// and runs tasks at the upstream over HTTP.
package agentd
