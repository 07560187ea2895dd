package raft

// Log returns the entries in memory, for tests outside the package.
func (n *Node) Log() []Entry { return n.log.ents }

// Durable returns the last index that is durable.
func (n *Node) Durable() uint64 { return n.log.stable }
