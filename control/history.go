package control

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"iter"
	"slices"
	"sync"

	"github.com/tinylib/msgp/msgp"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// maxHistory bounds the number of versions that can be shown or rolled back to.
const maxHistory = 512

// Version is one version in the history, with the change that undoes it.
type Version struct {
	Info VersionInfo `msg:"i"`
	// Undo turns this version's document into the previous version's.
	Undo Undo `msg:"u"`
}

// Undo is the fleet.Change to the previous version.
type Undo struct {
	Sections []wire.ConfigSection `msg:"s"`
	Removed  []string             `msg:"r"`
}

// StoredVersion is a Version as the history stores it: the lists of sections, which
// are as large as the change, are compressed.
type StoredVersion struct {
	// Info has no list of changed sections.
	Info VersionInfo `msg:"i"`
	// Packed is the compressed encoding of the whole Version.
	Packed []byte `msg:"b"`
	// Size is versionSize of the Version.
	Size int `msg:"z"`
}

// maxPackedVersion bounds the encoding of one Version, in bytes, against a damaged one
// that expands without end. An intact one is about as large as a command.
const maxPackedVersion = 64 << 20

// errPackedTooLarge rejects a stored version that exceeds maxPackedVersion.
var errPackedTooLarge = errors.New("control: a stored version is too large")

func storeVersion(v *Version) StoredVersion {
	raw, err := v.MarshalMsg(nil)
	if err != nil {
		panic(fmt.Sprintf("control: encode version %d: %v", v.Info.Index, err))
	}
	info := v.Info
	info.Changed = nil
	return StoredVersion{Info: info, Packed: compress(raw), Size: versionSize(v)}
}

// appendEncoding appends the encoded Version to b.
func (s *StoredVersion) appendEncoding(b []byte) ([]byte, error) {
	out := bytes.NewBuffer(b)
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	err := r.(flate.Resetter).Reset(bytes.NewReader(s.Packed), nil)
	if err == nil {
		_, err = out.ReadFrom(io.LimitReader(r, maxPackedVersion+1))
	}
	if err == nil && out.Len()-len(b) > maxPackedVersion {
		err = errPackedTooLarge
	}
	if err != nil {
		return b, fmt.Errorf("control: stored version %d: %w", s.Info.Index, err)
	}
	return out.Bytes(), nil
}

func (s *StoredVersion) version() (*Version, error) {
	raw, err := s.appendEncoding(nil)
	if err != nil {
		return nil, err
	}
	v := new(Version)
	rest, err := v.UnmarshalMsg(raw)
	if err != nil {
		return nil, fmt.Errorf("control: stored version %d: %w", s.Info.Index, err)
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("control: stored version %d has %d bytes too many", s.Info.Index, len(rest))
	}
	return v, nil
}

// compressors holds idle compressors, which are large.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("control: create a compressor: %v", err))
	}
	return w
}}

// decompressors holds idle decompressors.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

func compress(raw []byte) []byte {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, err := w.Write(raw)
	if err := errors.Join(err, w.Close()); err != nil {
		panic(fmt.Sprintf("control: compress %d bytes: %v", len(raw), err))
	}
	return bytes.Clone(out.Bytes())
}

// history holds the stored versions, oldest first; the last one is in force.
type history struct {
	versions []StoredVersion
	// bytes is the total Size of the versions.
	bytes int
	// dropped counts the versions that were dropped because of their size.
	dropped uint64
}

func newHistory(versions []StoredVersion) history {
	h := history{versions: versions}
	for i := range versions {
		h.bytes += versions[i].Size
	}
	return h
}

// add appends a version and drops the oldest ones over maxHistory and maxBytes.
func (h *history) add(v *Version, maxBytes int) {
	s := storeVersion(v)
	h.versions = append(h.versions, s)
	h.bytes += s.Size
	h.drop(max(0, len(h.versions)-maxHistory))
	h.trim(maxBytes)
}

// trim drops the oldest versions over maxBytes, but not the one in force.
func (h *history) trim(maxBytes int) {
	n := excess(h.versions, h.bytes, maxBytes, func(s *StoredVersion) int { return s.Size })
	h.dropped += uint64(n)
	h.drop(n)
}

func (h *history) drop(n int) {
	for i := range n {
		h.bytes -= h.versions[i].Size
	}
	h.versions = slices.Delete(h.versions, 0, n)
}

// newestFirst returns the versions, decoded one at a time.
func (h *history) newestFirst() iter.Seq2[*Version, error] {
	return func(yield func(*Version, error) bool) {
		for i := range slices.Backward(h.versions) {
			if !yield(h.versions[i].version()) {
				return
			}
		}
	}
}

// documentAt returns the document of a version, given the one in force. It returns nil
// if the version is not in the history.
func (h *history) documentAt(index uint64, inForce *fleet.Document) *fleet.Document {
	stored := func(s StoredVersion) bool { return s.Info.Index == index }
	if !slices.ContainsFunc(h.versions, stored) {
		return nil
	}
	doc := inForce
	for v, err := range h.newestFirst() {
		if err != nil {
			return nil
		}
		if v.Info.Index == index {
			return doc
		}
		if doc, err = doc.Apply(fleet.Change{Sections: v.Undo.Sections, Removed: v.Undo.Removed}); err != nil {
			return nil
		}
	}
	return nil
}

// verify reports a stored version that can't be read or differs from its description.
func (h *history) verify() error {
	var raw []byte
	for i := range h.versions {
		s := &h.versions[i]
		var err error
		if raw, err = s.appendEncoding(raw[:0]); err != nil {
			return err
		}
		info, size, rest, err := scanVersion(raw)
		if err != nil {
			return fmt.Errorf("control: stored version %d: %w", s.Info.Index, err)
		}
		if len(rest) > 0 || size != s.Size || info.Index != s.Info.Index || info.Digest != s.Info.Digest {
			return fmt.Errorf("control: stored version %d holds version %d of size %d, want size %d", s.Info.Index, info.Index, size, s.Size)
		}
	}
	return nil
}

// VersionList encodes stored versions as a list of Version, the encoding of snapshots
// of format 1. It packs and unpacks one version at a time, because the whole list takes
// many times the memory of the stored versions.
type VersionList struct {
	Stored []StoredVersion
}

// MarshalMsg implements msgp.Marshaler.
func (l VersionList) MarshalMsg(b []byte) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(l.Stored)))
	for i := range l.Stored {
		var err error
		if b, err = l.Stored[i].appendEncoding(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// UnmarshalMsg implements msgp.Unmarshaler.
func (l *VersionList) UnmarshalMsg(b []byte) ([]byte, error) {
	n, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return b, err
	}
	l.Stored = nil
	for range n {
		info, size, rest, err := scanVersion(b)
		if err != nil {
			return b, err
		}
		l.Stored = append(l.Stored, StoredVersion{Info: info, Packed: compress(b[:len(b)-len(rest)]), Size: size})
		b = rest
	}
	return b, nil
}

// Msgsize implements msgp.Sizer. It is an estimate.
func (l VersionList) Msgsize() int {
	size := msgp.ArrayHeaderSize
	for i := range l.Stored {
		size += l.Stored[i].Size
	}
	return size
}
