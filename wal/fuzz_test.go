package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

// Whatever a segment holds, opening it ends with a log or an error.
func FuzzDecodeSegment(f *testing.F) {
	fs := waltest.New(1)
	w, _ := openWAL(f, fs)
	require.NoError(f, w.Save(save(1, 3, 1)))
	data, err := fs.ReadFile(segmentPath(1))
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := filledFS(t)
		file, err := fs.Create(segmentPath(1))
		require.NoError(t, err)
		_, err = file.Write(data)
		require.NoError(t, err)
		w, _, err := wal.Open(fs, dir, newID)
		if err == nil {
			require.NoError(t, w.Close())
		}
	})
}
