// Package e2e tests the fleet's own binaries against the failures that they
// must survive: each test starts control hosts, entries, agents and stand-in
// upstreams as separate processes on loopback, signals them, and compares the
// callers' answers with the starts in the upstreams' journals.
//
// The tests are skipped under -short. A failed test keeps its folder of
// settings, logs and journals and names it.
package e2e
