package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the file system interface that the log uses. Names are paths below one
// folder. Creating, renaming or removing a name is durable only after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which is released when the process ends.
	// It returns ErrLocked if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// ErrLocked reports that another process uses the data folder.
var ErrLocked = errors.New("another process uses the data folder")

// OS is the operating system's file system.
type OS struct{}

// folderMode and fileMode deny access to other users of the host.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, folderMode) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	ents, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(ents))
	for _, e := range ents {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, fmt.Errorf("flock: %w", err)
}

// writeFileAtomic replaces the content of a file by the concatenated parts. After a
// crash the file holds either the old or the new content.
func writeFileAtomic(fs FS, name string, parts ...[]byte) error {
	tmp := name + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, parts...); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fs.Rename(tmp, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

func writeAndSync(f File, parts ...[]byte) error {
	for _, data := range parts {
		n, err := f.Write(data)
		if err != nil {
			return err
		}
		if n < len(data) {
			return io.ErrShortWrite
		}
	}
	return f.Sync()
}
