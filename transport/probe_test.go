package transport

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// probeAt returns when a prober sends its first ping to a peer that last sent a frame
// at 1 s, and when it finds the connection silent, according to the times at which it
// sets its timer. A message is sent at sentAt, or a reply is awaited from then on.
func probeAt(interval, sentAt time.Duration, awaiting bool) (pinged, silent time.Duration) {
	p := &prober{interval: interval, lastFrameAt: time.Second, c: &Conn{opts: Options{PeerTimeout: checksPerPeerTimeout * interval}}}
	if awaiting {
		p.awaitingReply, p.awaitingSince = true, sentAt
	} else {
		p.unansweredSince = sentAt
	}
	pinged = p.pingDueLocked()
	p.pingedSince = pinged
	for now := pinged; ; now += interval {
		if p.checkSilenceLocked(now) != nil {
			return pinged, now
		}
	}
}

// Each task in flight and each job lock keeps a session probed. A ping for each eighth
// of a second without a frame was over a quarter of all messages on a fleet of 74 agents and 18
// entries; it must not come sooner than half of the deadline, and a silent peer must be
// found within the deadline nevertheless.
func TestPingIsDueHalfwayToDeadline(t *testing.T) {
	const interval = 125 * time.Millisecond
	for _, awaiting := range []bool{false, true} {
		for _, sentAt := range []time.Duration{time.Second, 1100 * time.Millisecond, 9 * time.Second} {
			pinged, silent := probeAt(interval, sentAt, awaiting)
			require.Equal(t, sentAt+2*interval, pinged)
			require.Equal(t, sentAt+4*interval, silent)
		}
	}
}

// A frame that arrives while a reply is awaited puts the ping off.
func TestFramePutsPingOff(t *testing.T) {
	p := &prober{interval: 125 * time.Millisecond, awaitingReply: true, awaitingSince: time.Second, lastFrameAt: 1200 * time.Millisecond, c: &Conn{}}
	require.Equal(t, 1450*time.Millisecond, p.pingDueLocked())
	p.receiverBlocked = true
	require.Equal(t, notDue, p.pingDueLocked())
}

// A connection that was pinged is checked again a quarter of the deadline later. Each
// time that the caller awaited another reply meanwhile, the check moved on, and a silent
// connection was found late.
func TestAwaitedReplyDoesNotPutCheckOff(t *testing.T) {
	o := silentOptions()
	o.PeerTimeout = never
	p := newPair(t, o)
	entry, _ := p.connect(t, o)
	entry.probe.mu.Lock()
	entry.probe.unansweredSince = entry.probe.now() - quietChecks*entry.probe.interval
	entry.probe.pingedSince = entry.probe.now()
	entry.probe.armLocked()
	next := entry.probe.nextCheck
	entry.probe.mu.Unlock()
	for range 3 {
		entry.SetAwaitingReply(false)
		entry.SetAwaitingReply(true)
	}
	entry.probe.mu.Lock()
	defer entry.probe.mu.Unlock()
	require.Equal(t, next, entry.probe.nextCheck)
}
