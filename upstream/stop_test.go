package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream that is told to stop before it has begun to serve ends all the same.
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
