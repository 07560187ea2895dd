package controld

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/control"
)

// The changes that wait for the log were bounded by number, 1,024, and each may have a
// megabyte. What doesn't fit is rejected as not proposed, and is counted.
func TestChangesInProgressAreBoundedInBytes(t *testing.T) {
	var c changesInProgress
	end, err := c.begin(maxChangeBytes + 1)
	require.NoError(t, err, "one change alone")
	_, err = c.begin(1)
	require.ErrorIs(t, err, errTooManyChanges)
	require.Equal(t, control.Usage{Part: partChanges, Bytes: maxChangeBytes + 1, Limit: maxChangeBytes, Reached: 1}, c.usage())
	end()
	var ends []func()
	for range 4 {
		end, err := c.begin(maxChangeBytes / 4)
		require.NoError(t, err)
		ends = append(ends, end)
	}
	_, err = c.begin(1)
	require.ErrorIs(t, err, errTooManyChanges)
	for _, end := range ends {
		end()
	}
	require.Zero(t, c.usage().Bytes)
}

// The data folder grew to 78 MB over 520 changes of a large document, towards a disk of
// 128 MB. It holds a snapshot, one that is being written, and the log since.
func TestDataFolderIsBounded(t *testing.T) {
	const (
		changes = 150
		routes  = 1400
		// maxFolder is half of the platform's disk.
		maxFolder = 64 << 20
	)
	c := startCluster(t, 1)
	h := c.hosts[0]
	eventually(t, "the latest state format", func() bool { return h.machine.Format() == control.LatestFormat })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	largest := int64(0)
	for n := range changes {
		doc := fullRoutes(routes)
		for i := range doc[1:] {
			doc[i+1].Keys[3].Value = (time.Second + time.Duration(n)*time.Millisecond).String()
		}
		refused, err := h.Publish(ctx, "op", uint64(n+1), doc, bytes.Repeat([]byte("x"), 200*routes))
		require.NoError(t, err)
		require.Empty(t, refused)
		size := int64(0)
		require.NoError(t, filepath.Walk(c.folders[0], func(_ string, info os.FileInfo, err error) error {
			if err == nil && !info.IsDir() {
				size += info.Size()
			}
			return nil // a file may be removed meanwhile
		}))
		largest = max(largest, size)
	}
	t.Log("largest folder", largest)
	require.Less(t, largest, int64(maxFolder))
}
