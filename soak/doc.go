// Package soak holds a randomized test that runs the real programs as separate
// processes on loopback, with stand-ins for the surrounding platform. One mode
// kills, pauses, stops and restarts the programs and disturbs links, another only
// sends the signals of planned work, in series that overlap. Both are also run with
// callers that send their jobs again to any entry. Two more have jobs that crash their
// upstreams, upstreams that crash by themselves and capacities that shrink and grow.
// TestSoakTurnover has a site's kinds of jobs, upstreams that depart or crash and are
// succeeded, and agents and entries that fail or have a share of a core. All check what
// callers, operators and upstreams observe. docs/OPERATIONS.md describes how to run it by hand.
package soak
