// Package soak holds a randomized test that runs the real programs as separate
// processes on loopback, with stand-ins for the platform around them, kills,
// pauses, stops and restarts them by signals, and checks what callers,
// operators and upstreams see. See docs/OPERATIONS.md for how to run it by hand.
package soak
