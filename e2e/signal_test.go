package e2e

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// signalDelivery is enough time for a signal to be handled by a process, or to end
// it.
const signalDelivery = time.Second

// pausedStart starts a process whose settings file is a named pipe, so that it is
// still starting until the returned function passes the settings to it.
func pausedStart(t *testing.T, p *process) (passSettings func()) {
	t.Helper()
	path := p.args[len(p.args)-1]
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.Remove(path))
	require.NoError(t, syscall.Mkfifo(path, fileMode))
	p.start(t)
	var pipe *os.File
	poll(t, p.name+" opens its settings", func() string {
		// Without a reader, a non-blocking open for writing fails.
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err != nil {
			return err.Error()
		}
		return ""
	})
	return func() {
		require.NoError(t, os.Remove(path))
		require.NoError(t, os.WriteFile(path, text, fileMode))
		_, err := pipe.Write(text)
		require.NoError(t, err)
		require.NoError(t, pipe.Close())
	}
}

// requireRunning fails the test with the reason if the process has ended.
func requireRunning(t *testing.T, p *process) {
	t.Helper()
	if !p.running() {
		require.Fail(t, "process has ended", "%s: %s", p.name, p.cmd.ProcessState)
	}
}

func awaitLogLine(t *testing.T, p *process, text string) {
	t.Helper()
	poll(t, p.name+" logs "+text, func() string {
		if log := p.readLog(t); !strings.Contains(log, text) {
			return log
		}
		return ""
	})
}

// A SIGHUP that arrives while a process is starting must not end it; the keys and
// the log level are reloaded once it runs.
func TestHangupDuringStartReloads(t *testing.T) {
	c := prepareCluster(t)
	p := c.entries[0]
	passSettings := pausedStart(t, p)
	p.signal(t, syscall.SIGHUP)
	time.Sleep(signalDelivery)
	requireRunning(t, p)
	passSettings()
	awaitLogLine(t, p, "keys reloaded")
	p.signal(t, syscall.SIGTERM)
	require.Zero(t, p.awaitExit(t))
}

// A SIGTERM that arrives while a process is starting ends it with code 0 before it
// serves.
func TestSigtermDuringStartEndsWithoutServing(t *testing.T) {
	c := prepareCluster(t)
	p := c.entries[0]
	passSettings := pausedStart(t, p)
	p.signal(t, syscall.SIGTERM)
	time.Sleep(signalDelivery)
	requireRunning(t, p)
	passSettings()
	require.Zero(t, p.awaitExit(t))
	require.Contains(t, p.readLog(t), "ended before serving")
	require.NotContains(t, p.readLog(t), "serving callers")
}

// A process whose log reader has gone must not be ended by SIGPIPE: it keeps
// serving, and drains on SIGTERM.
func TestLostLogReaderDoesNotEndProcess(t *testing.T) {
	c := prepareCluster(t)
	p := c.entries[0]
	path := p.logPath
	require.NoError(t, syscall.Mkfifo(path, fileMode))
	reader, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	require.NoError(t, err)
	p.start(t)
	awaitHealthy := func() {
		poll(t, p.name+" is healthy", func() string {
			requireRunning(t, p)
			resp, err := c.client.Get("http://" + c.callerAddrs[0] + "/healthz")
			if err != nil {
				return err.Error()
			}
			resp.Body.Close()
			return ""
		})
	}
	awaitHealthy()
	require.NoError(t, reader.Close())
	// Each SIGHUP writes lines to the log.
	for range 3 {
		p.signal(t, syscall.SIGHUP)
		time.Sleep(signalDelivery / 5)
		awaitHealthy()
	}
	p.signal(t, syscall.SIGTERM)
	require.Zero(t, p.awaitExit(t), "exit code, -1 after a signal")
}

// Signals that arrive during a drain, as overlapping restarts and reloads send them,
// must not cost a request its answer.
func TestSignalsDuringDrainLoseNoAnswer(t *testing.T) {
	const inFlight = 2 * agents * slots
	c := newCluster(t)
	wait := inBackground(inFlight, func(i int) answer { return c.request(0, longRunMS, "") })
	poll(t, "all requests are in flight", func() string {
		s, err := c.status(0)
		if err != nil {
			return err.Error()
		}
		if s.InFlight < inFlight {
			return fmt.Sprintf("%d of %d in flight", s.InFlight, inFlight)
		}
		return ""
	})
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p := c.entries[0]
		requireRunning(t, p)
		p.signal(t, s)
		time.Sleep(signalDelivery / 20)
	}
	answers := wait()
	c.requireAllAnswered(answers)
	c.requireAllComplete(answers)
	require.Zero(t, c.entries[0].awaitExit(t), c.entries[0].readLog(t))
	c.checkStarts(answers)
}
