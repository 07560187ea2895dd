package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

const addrA, addrB, addrC, addrD, addrE = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"

func threeVoters() []Member {
	return []Member{
		{ID: 1, Addr: addrA, Voter: true, Self: true, CaughtUp: true},
		{ID: 2, Addr: addrB, Voter: true, CaughtUp: true},
		{ID: 3, Addr: addrC, Voter: true, CaughtUp: true},
	}
}

func TestNoChangeForHealthyCluster(t *testing.T) {
	require.Nil(t, Decide(Config{}, View{Members: threeVoters()}))
}

func TestCandidateIsAddedAsLearner(t *testing.T) {
	v := View{Members: threeVoters(), Candidates: []Candidate{{ID: 4, Addr: addrD}}}
	require.Equal(t, &wire.MemberChange{Action: wire.MemberAdd, ID: 4, Addr: addrD}, Decide(Config{}, v))
	v.Members = append(v.Members, Member{ID: 4, Addr: addrD, CaughtUp: true})
	require.Nil(t, Decide(Config{}, v), "a fourth voter would only raise the quorum")
}

func TestHostWithReplacedDiskIsReplacedImmediately(t *testing.T) {
	v := View{Members: threeVoters(), Candidates: []Candidate{{ID: 9, Addr: addrC}}}
	require.Nil(t, removeSupersededReplica(Config{}, v), "a member that answers still has its disk")
	v.Members[2].SilentFor = 10 * time.Millisecond
	require.Equal(t, &wire.MemberChange{Action: wire.MemberRemove, ID: 3}, Decide(Config{}, v))
	v.Members = v.Members[:2]
	require.Equal(t, &wire.MemberChange{Action: wire.MemberAdd, ID: 9, Addr: addrC}, Decide(Config{}, v))
	v.Members = append(v.Members, Member{ID: 9, Addr: addrC})
	require.Nil(t, Decide(Config{}, v), "the new replica has not caught up")
	v.Members[2].CaughtUp = true
	require.Equal(t, &wire.MemberChange{Action: wire.MemberPromote, ID: 9}, Decide(Config{}, v))
}

func TestDeadVoterIsReplacedByCaughtUpLearner(t *testing.T) {
	v := View{Members: append(threeVoters(), Member{ID: 4, Addr: addrD, CaughtUp: true})}
	v.Members[2].SilentFor = 2 * time.Second
	require.Nil(t, Decide(Config{}, v), "the silent voter may still come back")
	v.Members[2].SilentFor = 3 * time.Second
	require.Equal(t, &wire.MemberChange{Action: wire.MemberRemove, ID: 3}, Decide(Config{}, v))
	v.Members = append(v.Members[:2], v.Members[3])
	require.Equal(t, &wire.MemberChange{Action: wire.MemberPromote, ID: 4}, Decide(Config{}, v))
}

func TestDeadVoterIsKeptWithoutReplacement(t *testing.T) {
	v := View{Members: threeVoters()}
	v.Members[2].SilentFor = time.Hour
	require.Nil(t, Decide(Config{}, v))
}

func TestVotersGrowToFiveInPairs(t *testing.T) {
	v := View{Members: append(threeVoters(), Member{ID: 4, Addr: addrD, CaughtUp: true}, Member{ID: 5, Addr: addrE, CaughtUp: true})}
	require.Equal(t, &wire.MemberChange{Action: wire.MemberPromote, ID: 4}, Decide(Config{}, v))
	v.Members[3].Voter = true
	require.Equal(t, &wire.MemberChange{Action: wire.MemberPromote, ID: 5}, Decide(Config{}, v))
	v.Members[4].Voter = true
	v.Members = append(v.Members, Member{ID: 6, Addr: "10.0.0.6:1", CaughtUp: true}, Member{ID: 7, Addr: "10.0.0.7:1", CaughtUp: true})
	require.Nil(t, Decide(Config{}, v), "five voters are enough")
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	v := View{Members: append(threeVoters(), Member{ID: 4, Addr: addrD, SilentFor: 10 * time.Second})}
	require.Equal(t, &wire.MemberChange{Action: wire.MemberRemove, ID: 4}, Decide(Config{}, v))
}

func fiveVoters() []Member {
	return append(threeVoters(), Member{ID: 4, Addr: addrD, Voter: true, CaughtUp: true}, Member{ID: 5, Addr: addrE, Voter: true, CaughtUp: true})
}

// A partitioned voter still has its disk. Removing it without a replacement would
// leave too few copies to tolerate the loss of two disks.
func TestVotersNeverFallBelowTolerance(t *testing.T) {
	v := View{Members: fiveVoters()}
	v.Members[3].SilentFor, v.Members[4].SilentFor = time.Hour, time.Hour
	require.Nil(t, Decide(Config{Tolerance: 2}, v))
	v.Members = v.Members[:4]
	require.Nil(t, Decide(Config{Tolerance: 2}, v), "four voters are already too few for a tolerance of two")
}

// A learner replaces one of two dead voters although the other stays silent: with
// an even number of voters, adding one does not raise the quorum.
func TestLearnerReplacesOneOfTwoDeadVoters(t *testing.T) {
	v := View{Members: append(fiveVoters(), Member{ID: 6, Addr: "10.0.0.6:1", CaughtUp: true})}
	v.Members[3].SilentFor, v.Members[4].SilentFor = time.Hour, time.Hour
	require.Equal(t, &wire.MemberChange{Action: wire.MemberRemove, ID: 4}, Decide(Config{Tolerance: 2}, v))
	v.Members = append(v.Members[:3], v.Members[4:]...)
	require.Equal(t, &wire.MemberChange{Action: wire.MemberPromote, ID: 6}, Decide(Config{Tolerance: 2}, v))
}
