// Package e2e tests the fleet's binaries under the failures that they must
// tolerate. Each test starts control hosts, entries, agents and stand-in
// upstreams as separate processes on loopback, sends them signals, and compares
// the callers' answers with the task starts in the upstreams' journals.
//
// The tests are skipped under -short. A failed test keeps its folder of
// settings, logs and journals and logs the path.
package e2e
