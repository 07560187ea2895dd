package replica

import (
	"fmt"

	"github.com/fireflytray/fireflytray/raft"
)

//go:generate go tool msgp -tests=false -io=false -unexported

//msgp:tuple envelope intro exists removed
//msgp:ignore Options Replica Status MemberStatus NotLeaderError bootstrapper loop effects waiter request result saver saveJob confirmedRead event
//msgp:limit arrays:1024 maps:16

// envelope frames every message between replicas. Exactly one of the pointers
// is set.
type envelope struct {
	Cluster  uint64
	From     uint64
	FromAddr string
	Raft     *raft.Message
	Intro    *intro
	Exists   *exists
	// Removed notifies a replica that the cluster has removed it.
	Removed *removed
}

// intro is sent by a replica outside any cluster to the bootstrap hosts.
type intro struct {
	// Initial is the list of initial voters that the sender has durably agreed
	// to. It is empty while the sender still collects ids.
	Initial []raft.Member
}

// exists answers an intro: the cluster has been formed.
type exists struct {
	Initial []raft.Member
}

// removed is sent by the leader to a replica that is no longer a member.
type removed struct {
	// Term is the leader's term.
	Term uint64
}

func (e *envelope) encode() ([]byte, error) { return e.MarshalMsg(nil) }

// decode parses and validates a message from a peer.
func decode(body []byte) (*envelope, error) {
	e := new(envelope)
	rest, err := e.UnmarshalMsg(body)
	if err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("decode: %d trailing bytes after the message", len(rest))
	}
	bodies := 0
	for _, ok := range []bool{e.Raft != nil, e.Intro != nil, e.Exists != nil, e.Removed != nil} {
		if ok {
			bodies++
		}
	}
	if bodies != 1 || e.From == raft.None {
		return nil, fmt.Errorf("decode: %d message bodies from replica %016x, want one body and a nonzero sender", bodies, e.From)
	}
	if e.Raft != nil && e.Raft.From != e.From {
		return nil, fmt.Errorf("decode: envelope from replica %016x carries a Raft message from %016x", e.From, e.Raft.From)
	}
	return e, nil
}
