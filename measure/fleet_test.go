package measure

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// metricsDelay is by how much a process's page may be behind: two of the intervals
// at which it is written.
const metricsDelay = 2 * time.Second

// TestMain runs this program as a process of a measurement if it is started as
// one.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == processCommand {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		fmt.Fprintln(os.Stderr, RunProcess(ctx, os.Args[3]))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// A fleet of separate processes takes changes and runs jobs, and what each
// process used is read from its page.
func TestFleetOfProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := newFleet(ctx, t.TempDir(), false)
	if f != nil {
		defer f.stop()
	}
	require.NoError(t, err)
	require.NoError(t, f.scaleAgents(ctx, 2))
	m := &fleetRun{opts: &Options{Window: loadMaxRun * 20, Progress: os.Stderr}, fleet: f}
	use, _, err := f.measureDuring(ctx, func(ctx context.Context) error {
		if err := f.applyChange(ctx); err != nil {
			return err
		}
		if err := f.awaitInForce(ctx); err != nil {
			return err
		}
		if err := m.sendLoad(ctx, 20); err != nil {
			return err
		}
		time.Sleep(metricsDelay)
		return nil
	})
	require.NoError(t, err)
	require.Positive(t, use.entry.kinds["update"].Messages)
	require.Positive(t, use.agent.kinds["report"].Bytes)
	require.Positive(t, use.control.kinds["announce"].Messages)
	require.Positive(t, use.control.memory)
}
