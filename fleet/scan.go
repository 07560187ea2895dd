package fleet

import (
	"fmt"
	"strings"
)

// scanned is what the line scan of one file found.
type scanned struct {
	lines    map[place]int
	problems []Problem
}

// scanLines finds the line of each section and key, and refuses lines of a form
// that is not accepted: values in quotes, repeated sections and keys, keys
// outside sections.
func scanLines(src Source) scanned {
	s := scanner{src: src, out: scanned{lines: map[place]int{}}}
	for text := range strings.Lines(string(src.Text)) {
		s.number++
		s.line(strings.TrimSpace(text))
	}
	return s.out
}

type scanner struct {
	src     Source
	out     scanned
	number  int
	section string
	inside  bool
}

func (s *scanner) line(text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case !printable(text):
		s.problem("", "the line has characters that are not printable ASCII", "printable ASCII")
	case text[0] == '[':
		s.header(text)
	default:
		s.pair(text)
	}
}

func (s *scanner) header(text string) {
	name, rest, ok := strings.Cut(text[1:], "]")
	rest = strings.TrimSpace(rest)
	s.inside = true
	s.section = name
	if !ok || rest != "" && rest[0] != '#' && rest[0] != ';' {
		s.problem("", "this is not a section header", validSections)
		return
	}
	if _, _, ok := splitSection(name); !ok {
		s.problem("", "unknown section", validSections+"; NAME: "+validNames)
		return
	}
	at := place{s.src.Site, name, ""}
	if first, ok := s.out.lines[at]; ok {
		s.problem("", fmt.Sprintf("the section stands already at line %d", first), "each section once")
		return
	}
	s.out.lines[at] = s.number
}

func (s *scanner) pair(text string) {
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok:
		s.problem("", fmt.Sprintf("%.40q is neither a section nor a key", text), "key = value")
	case !s.inside:
		s.problem(key, "the key stands outside any section", validSections)
	case !validName(key):
		s.problem("", fmt.Sprintf("%.40q can't be a key", key), "lower-case letters, digits and _")
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.problem(key, "the value is in quotes", "the bare value")
	default:
		s.key(key)
	}
}

func (s *scanner) key(key string) {
	at := place{s.src.Site, s.section, key}
	if first, ok := s.out.lines[at]; ok {
		s.problem(key, fmt.Sprintf("the key stands already at line %d", first), "each key once a section")
		return
	}
	s.out.lines[at] = s.number
}

func (s *scanner) problem(key, reason, valid string) {
	s.out.problems = append(s.out.problems, Problem{s.src.File, s.number, s.section, key, reason, valid})
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c != '\t' && (c < ' ' || c > '~') {
			return false
		}
	}
	return true
}
