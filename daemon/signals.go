package daemon

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives the signals of a daemon. Each kind has its own channel, so that
// no kind is lost because of another: package signal drops what does not fit.
type signals struct {
	hangup    chan os.Signal
	terminate chan os.Signal
	interrupt chan os.Signal
	// brokenPipe has no reader. While it is registered, a write to a closed
	// standard output fails and does not end the process.
	brokenPipe chan os.Signal
}

// notifySignals registers all signals that a daemon handles. Until then, Go's
// default action for them ends the process.
func notifySignals() *signals {
	s := &signals{
		hangup:    make(chan os.Signal, 1),
		terminate: make(chan os.Signal, 1),
		// An operator may interrupt twice before the first one is handled.
		interrupt:  make(chan os.Signal, 2),
		brokenPipe: make(chan os.Signal, 1),
	}
	signal.Notify(s.hangup, syscall.SIGHUP)
	signal.Notify(s.terminate, syscall.SIGTERM)
	signal.Notify(s.interrupt, syscall.SIGINT)
	signal.Notify(s.brokenPipe, syscall.SIGPIPE)
	return s
}

func (s *signals) stop() {
	for _, c := range []chan os.Signal{s.hangup, s.terminate, s.interrupt, s.brokenPipe} {
		signal.Stop(c)
	}
}

// pendingEnd returns a signal to end that has arrived and was not handled, or nil.
func (s *signals) pendingEnd() os.Signal {
	select {
	case sig := <-s.terminate:
		return sig
	case sig := <-s.interrupt:
		return sig
	default:
		return nil
	}
}
