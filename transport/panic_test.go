package transport

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/internal/stacks"
	"github.com/fireflytray/fireflytray/wire"
)

// A panic over one message, as of a decoder or of a hook that reads its stamp, ended
// the process. It has to end the connection that the message came on.
func TestPanicWhileReadingEndsConnectionOnly(t *testing.T) {
	const badIndex = 13
	p := newPair(t, Options{OnStamp: func(_ Peer, s wire.Stamp) {
		if s.Index == badIndex {
			panic("bad stamp")
		}
	}})
	good, goodAgent := p.connect(t, Options{})
	var index atomic.Uint64
	bad, badAgent := p.connect(t, Options{Stamp: func() wire.Stamp { return wire.Stamp{Index: index.Load()} }})
	index.Store(badIndex)
	require.NoError(t, bad.Send(&wire.Update{}))
	<-badAgent.Done()
	var failure *stacks.PanicError
	require.True(t, errors.As(badAgent.Err(), &failure))
	require.Contains(t, failure.Error(), "bad stamp")
	require.Contains(t, failure.Error(), "TestPanicWhileReadingEndsConnectionOnly")

	require.NoError(t, good.Send(&wire.Update{Seq: 7}))
	m, _, err := goodAgent.Recv(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 7, m.(*wire.Update).Seq)
}
