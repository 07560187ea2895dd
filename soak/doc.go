// Package soak holds a randomized test that runs the real programs as separate
// processes on loopback, with stand-ins for the surrounding platform. It kills,
// pauses, stops and restarts the programs and checks what callers, operators and
// upstreams observe. docs/OPERATIONS.md describes how to run it by hand.
package soak
