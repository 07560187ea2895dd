package raft

// Log returns the entries kept in memory.
func (n *Node) Log() []Entry { return n.log.ents }

// Durable returns the last durable index.
func (n *Node) Durable() uint64 { return n.log.stable }
