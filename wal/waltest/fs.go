// Package waltest has an in-memory file system for tests that fails on
// demand: it loses and tears unsynced writes at a crash, runs out of room and
// fails syncs.
package waltest

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/fireflytray/fireflytray/wal"
)

// ErrSync is the error of a sync that is told to fail.
var ErrSync = errors.New("input/output error")

// FS is a file system that keeps what is durable apart from what is written.
type FS struct {
	mu           sync.Mutex
	names        map[string]*inode // as the process sees them
	durable      map[string]*inode // as they are after a crash
	locks        map[string]*lock
	rng          *rand.Rand
	freeBytes    int
	limitSpace   bool
	failSyncs    bool
	remainingOps int
	limitOps     bool
	epoch        int
}

type inode struct {
	data   []byte
	synced []byte
}

type lock struct {
	fs   *FS
	name string
}

// New returns an empty file system. Seed decides what crashes tear.
func New(seed uint64) *FS {
	return &FS{
		names:   map[string]*inode{},
		durable: map[string]*inode{},
		locks:   map[string]*lock{},
		rng:     rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFreeSpace lets n more bytes be written before the disk is full; a negative n
// lifts the limit.
func (f *FS) SetFreeSpace(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freeBytes, f.limitSpace = n, n >= 0
}

// FailSyncs makes every sync of a file fail.
func (f *FS) FailSyncs(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSyncs = fail
}

// ErrKilled is the error of everything after a death that DieAfter brings.
var ErrKilled = errors.New("the process has died")

// KillAfter lets n more changes of files and names happen; all later ones fail
// until Crash, as if the process had died before them.
func (f *FS) KillAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remainingOps, f.limitOps = n, true
}

// countOp counts one change; the caller holds the lock.
func (f *FS) countOp() error {
	if !f.limitOps {
		return nil
	}
	if f.remainingOps == 0 {
		return ErrKilled
	}
	f.remainingOps--
	return nil
}

// Crash ends the process: locks and open files are gone, unsynced names are
// kept or lost at random, and unsynced bytes are lost, cut or garbled.
func (f *FS) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	f.limitOps = false
	f.locks = map[string]*lock{}
	for _, name := range f.unsyncedNames() {
		if f.rng.IntN(2) == 0 {
			f.setDurable(name, f.names[name])
		}
	}
	f.names = map[string]*inode{}
	for _, name := range sortedKeys(f.durable) {
		node := f.durable[name]
		node.data = f.tear(node)
		node.synced = slices.Clone(node.data)
		f.names[name] = node
	}
}

func sortedKeys(m map[string]*inode) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (f *FS) unsyncedNames() []string {
	var changed []string
	for _, name := range sortedKeys(f.names) {
		if f.durable[name] != f.names[name] {
			changed = append(changed, name)
		}
	}
	for _, name := range sortedKeys(f.durable) {
		if f.names[name] == nil {
			changed = append(changed, name)
		}
	}
	return changed
}

func (f *FS) setDurable(name string, node *inode) {
	if node == nil {
		delete(f.durable, name)
		return
	}
	f.durable[name] = node
}

// tear returns what is left of a file: its synced bytes and a random part of
// what was added, whose last bytes may be garbage.
func (f *FS) tear(node *inode) []byte {
	if len(node.data) <= len(node.synced) {
		return slices.Clone(node.synced)
	}
	added := node.data[len(node.synced):]
	keep := slices.Clone(added[:f.rng.IntN(len(added)+1)])
	if len(keep) > 0 && f.rng.IntN(2) == 0 {
		for i := f.rng.IntN(len(keep)); i < len(keep); i++ {
			keep[i] = byte(f.rng.Uint32())
		}
	}
	return append(slices.Clone(node.synced), keep...)
}

// FlipBit inverts one bit of a file, as a failing disk does.
func (f *FS) FlipBit(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	node.data = slices.Clone(node.data)
	node.data[offset] ^= 1
	node.synced = slices.Clone(node.data)
}

// Size returns the size of a file in bytes.
func (f *FS) Size(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names[name].data)
}

// MkdirAll implements wal.FS.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir implements wal.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range sortedKeys(f.names) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(node.data), nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOp(); err != nil {
		return nil, err
	}
	node := &inode{}
	f.names[name] = node
	return &file{fs: f, node: node, epoch: f.epoch}, nil
}

// Append implements wal.FS.
func (f *FS) Append(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{fs: f, node: node, epoch: f.epoch}, nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOp(); err != nil {
		return err
	}
	node := f.names[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(f.names, from)
	f.names[to] = node
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOp(); err != nil {
		return err
	}
	if f.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(f.names, name)
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOp(); err != nil {
		return err
	}
	for _, name := range f.unsyncedNames() {
		if filepath.Dir(name) == filepath.Clean(dir) {
			f.setDurable(name, f.names[name])
		}
	}
	return nil
}

// Lock implements wal.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[name] != nil {
		return nil, wal.ErrLocked
	}
	l := &lock{fs: f, name: name}
	f.locks[name] = l
	return l, nil
}

// Close implements io.Closer.
func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.fs.locks[l.name] == l {
		delete(l.fs.locks, l.name)
	}
	return nil
}

type file struct {
	fs    *FS
	node  *inode
	epoch int
}

// Write implements wal.File. A full disk takes what still fits.
func (h *file) Write(p []byte) (int, error) {
	f := h.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.epoch != f.epoch {
		return 0, fs.ErrClosed
	}
	if err := f.countOp(); err != nil {
		return 0, err
	}
	n := len(p)
	if f.limitSpace {
		n = min(n, f.freeBytes)
		f.freeBytes -= n
	}
	h.node.data = append(h.node.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync implements wal.File.
func (h *file) Sync() error {
	f := h.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countOp(); err != nil {
		return err
	}
	switch {
	case h.epoch != f.epoch:
		return fs.ErrClosed
	case f.failSyncs:
		return ErrSync
	}
	h.node.synced = slices.Clone(h.node.data)
	return nil
}

// Truncate implements wal.File.
func (h *file) Truncate(size int64) error {
	f := h.fs
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.epoch != f.epoch {
		return fs.ErrClosed
	}
	if err := f.countOp(); err != nil {
		return err
	}
	h.node.data = slices.Clone(h.node.data[:size])
	return nil
}

// Close implements wal.File.
func (h *file) Close() error { return nil }
