// Package crowd holds tests that run the real programs as separate processes on
// loopback, under crowds of clients that don't behave: bodies over the limit, many
// large bodies that stop short of their end, requests sent ahead whose answers nobody
// reads, jobs of very many tasks, connections that stay open without a request. Each
// test checks that every process lives, that its memory and descriptors stay within
// the host's, and that an ordinary request is answered while the crowd is connected.
// The crowds and bounds are fixed; no test asserts a time or a share of answers.
package crowd
