package replica

import (
	"fmt"

	"github.com/fireflytray/fireflytray/raft"
)

//go:generate go tool msgp -tests=false -io=false -unexported

//msgp:tuple envelope intro exists removed
//msgp:ignore Options Replica Status MemberStatus NotLeaderError former loop effects waiter request result saver saveJob readWait event
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
	// Removed tells a replica that the cluster has removed it.
	Removed *removed
}

// intro is what a replica outside any cluster says to the first hosts.
type intro struct {
	// Initial is the list of first voters that the sender has agreed to for
	// good; empty while it still collects ids.
	Initial []raft.Member
}

// exists tells such a replica that the cluster has been formed.
type exists struct {
	Initial []raft.Member
}

// removed is what the leader tells a replica that is no member any more.
type removed struct {
	// Term is the leader's.
	Term uint64
}

func (e *envelope) encode() ([]byte, error) { return e.MarshalMsg(nil) }

// decode reads a message that a peer has sent.
func decode(body []byte) (*envelope, error) {
	e := new(envelope)
	rest, err := e.UnmarshalMsg(body)
	if err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("decode: %d bytes follow the message", len(rest))
	}
	set := 0
	for _, ok := range []bool{e.Raft != nil, e.Intro != nil, e.Exists != nil, e.Removed != nil} {
		if ok {
			set++
		}
	}
	if set != 1 || e.From == raft.None {
		return nil, fmt.Errorf("decode: %d bodies from replica %016x", set, e.From)
	}
	if e.Raft != nil && e.Raft.From != e.From {
		return nil, fmt.Errorf("decode: replica %016x speaks for %016x", e.From, e.Raft.From)
	}
	return e, nil
}
