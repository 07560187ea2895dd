package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the part of a file system that the log needs. Names are paths below
// one folder. A created, renamed or removed name lasts only after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, replacing an older one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock takes an exclusive lock that ends with the process. It returns
	// ErrLocked when another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// ErrLocked says that another process uses the folder.
var ErrLocked = errors.New("another process uses the data folder")

// OS is the operating system's file system.
type OS struct{}

// folderMode and fileMode keep the state from other users of the host.
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

// writeFileAtomic puts a whole file in place so that after a crash either the old
// or the new content is there.
func writeFileAtomic(fs FS, name string, data []byte) error {
	tmp := name + tmpSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, data); err != nil {
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

func writeAndSync(f File, data []byte) error {
	n, err := f.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return io.ErrShortWrite
	}
	return f.Sync()
}
