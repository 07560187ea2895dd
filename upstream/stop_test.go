package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream whose context is cancelled before it starts to serve must still
// return.
func TestRunEndsWhenStoppedBeforeServing(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	for range 200 {
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, Options{Tasks: "127.0.0.1:0"}) }()
		select {
		case err := <-ended:
			require.NoError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("still serving")
		}
	}
}
