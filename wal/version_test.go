package wal_test

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

func errorsIs(err, want error) bool { return errors.Is(err, want) }

// A folder of a later version is refused by that name, and so is a file that
// is not ours.
func TestNewerAndForeignFolderIsRefused(t *testing.T) {
	const versionAt, headerSize = 8, 33
	fs := filledFS(t)
	data, err := fs.ReadFile(dir + "/identity")
	require.NoError(t, err)

	newer := append([]byte(nil), data...)
	binary.BigEndian.PutUint32(newer[versionAt:], wal.Version+1)
	sum := crc32.Checksum(newer[:headerSize-4], crc32.MakeTable(crc32.Castagnoli))
	binary.BigEndian.PutUint32(newer[headerSize-4:], sum)
	replaceIdentity(t, fs, newer)
	_, _, err = wal.Open(fs, dir, newID)
	require.ErrorIs(t, err, wal.ErrNewerVersion)

	replaceIdentity(t, fs, []byte("[server]\naddress = 10.0.0.1 and more than a header's length\n"))
	_, _, err = wal.Open(fs, dir, newID)
	require.ErrorIs(t, err, wal.ErrForeign)
}

func replaceIdentity(t *testing.T, fs *waltest.FS, data []byte) {
	f, err := fs.Create(dir + "/identity")
	require.NoError(t, err)
	_, err = f.Write(data)
	require.NoError(t, err)
	require.NoError(t, f.Close())
}
