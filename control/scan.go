package control

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// scanVersion reads an encoded Version without building its lists, which take several
// times the memory of the encoding. It returns the description without the list of
// changed sections, versionSize, and what follows the Version.
func scanVersion(b []byte) (info VersionInfo, size int, rest []byte, err error) {
	s := scanner{rest: b}
	s.fields(func(key string) {
		switch key {
		case "i":
			s.info(&info)
		case "u":
			s.fields(s.undoField)
		default:
			s.skip()
		}
	})
	if s.err != nil {
		return info, 0, b, fmt.Errorf("control: version: %w", s.err)
	}
	return info, s.size, s.rest, nil
}

// scanner walks through an encoding and adds up sizes. After an error it does nothing.
type scanner struct {
	rest []byte
	size int
	err  error
}

// fields calls read for each key of a map; read must consume the value.
func (s *scanner) fields(read func(key string)) {
	var n uint32
	if s.err == nil {
		n, s.rest, s.err = msgp.ReadMapHeaderBytes(s.rest)
	}
	for ; n > 0 && s.err == nil; n-- {
		var key []byte
		if key, s.rest, s.err = msgp.ReadMapKeyZC(s.rest); s.err == nil {
			read(string(key))
		}
	}
}

// list calls read for each element of an array; read must consume the element.
func (s *scanner) list(read func()) {
	var n uint32
	if s.err == nil {
		n, s.rest, s.err = msgp.ReadArrayHeaderBytes(s.rest)
	}
	for ; n > 0 && s.err == nil; n-- {
		read()
	}
}

// text consumes a string and adds its size.
func (s *scanner) text() {
	var text []byte
	if s.err == nil {
		text, s.rest, s.err = msgp.ReadStringZC(s.rest)
		s.size += stringOverhead + len(text)
	}
}

func (s *scanner) skip() {
	if s.err == nil {
		s.rest, s.err = msgp.Skip(s.rest)
	}
}

// info decodes a VersionInfo but for the list of changed sections, whose size it adds.
func (s *scanner) info(info *VersionInfo) {
	begin := s.rest
	var changed []byte
	s.fields(func(key string) {
		if key == "c" {
			changed = s.rest
		}
		s.skip()
	})
	if s.err != nil {
		return
	}
	after := s.rest
	if changed != nil {
		s.rest = changed
		s.list(s.text)
	}
	s.rest = after
	_, err := info.UnmarshalMsg(begin)
	if s.err == nil {
		s.err = err
	}
	info.Changed = nil
	s.size += infoSize(info)
}

// undoField consumes one field of an Undo.
func (s *scanner) undoField(key string) {
	switch key {
	case "s":
		s.list(func() { s.fields(s.sectionField) })
	case "r":
		s.list(s.text)
	default:
		s.skip()
	}
}

// sectionField consumes one field of a wire.ConfigSection.
func (s *scanner) sectionField(key string) {
	switch key {
	case "s", "n":
		s.text()
	case "k":
		s.list(func() {
			s.fields(func(key string) {
				if key == "k" || key == "v" {
					s.text()
					return
				}
				s.skip()
			})
		})
	default:
		s.skip()
	}
}
