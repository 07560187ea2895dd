// Package inifile parses INI text and records the line number of every section
// and key, so that a validator can report the position of each error. It
// accepts a strict subset of INI: one statement per line, no duplicate keys or
// sections, and no line continuations.
package inifile

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes bounds the size of one file.
const MaxBytes = 4 << 20

// Problem is one error in a file.
type Problem struct {
	File string
	// Line is 1-based; zero refers to the whole file.
	Line    int
	Section string
	Key     string
	// Text describes the error and the valid form.
	Text string
}

// Error formats the problem as file, line, section, key and text.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key)
		b.WriteString(": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems lists all errors of a file, in line order.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps sorted by line, or nil if ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return ps
}

// Key is a key with its value and line.
type Key struct {
	Name, Value string
	Line        int
}

// Section is a section with its keys in file order.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Lookup returns the key called name.
func (s *Section) Lookup(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// File is a parsed file with its sections in file order.
type File struct {
	Name     string
	Sections []*Section
}

// Lookup returns the section called name, or nil.
func (f *File) Lookup(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Parse parses text and reports problems under the file name given. It returns
// all syntax problems, together with the sections and keys that it could read.
func Parse(name string, text []byte) (*File, Problems) {
	sc := scanner{file: &File{Name: name}}
	if len(text) > MaxBytes {
		sc.report(0, "", fmt.Sprintf("file of %d bytes, want at most %d", len(text), MaxBytes))
		return sc.file, sc.problems
	}
	for i, line := range bytes.Split(text, []byte("\n")) {
		sc.line(i+1, string(bytes.TrimSpace(line)))
	}
	return sc.file, sc.problems
}

// scanner collects the sections and problems of one file.
type scanner struct {
	file     *File
	current  *Section
	problems Problems
}

func (sc *scanner) report(line int, key, text string) {
	p := Problem{File: sc.file.Name, Line: line, Key: key, Text: text}
	if sc.current != nil {
		p.Section = sc.current.Name
	}
	sc.problems = append(sc.problems, p)
}

func (sc *scanner) line(n int, text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case text[0] == '[':
		sc.section(n, text)
	default:
		sc.key(n, text)
	}
}

func (sc *scanner) section(n int, text string) {
	name, ok := strings.CutSuffix(text[1:], "]")
	name = strings.TrimSpace(name)
	sc.current = &Section{Name: name, Line: n}
	if !ok || name == "" || strings.ContainsAny(name, "[]") {
		sc.report(n, "", fmt.Sprintf("section header %q: want [name]", text))
		return
	}
	if old := sc.file.Lookup(name); old != nil {
		sc.report(n, "", fmt.Sprintf("section appears twice, first on line %d", old.Line))
		return
	}
	sc.file.Sections = append(sc.file.Sections, sc.current)
}

func (sc *scanner) key(n int, text string) {
	name, _, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	switch {
	case !ok || name == "" || strings.ContainsAny(name, "\"`:"):
		sc.report(n, "", fmt.Sprintf("line %q: want key = value", text))
		return
	case sc.current == nil:
		sc.report(n, name, "key before the first [section]")
		return
	}
	if old, ok := sc.current.Lookup(name); ok {
		sc.report(n, name, fmt.Sprintf("key appears twice, first on line %d", old.Line))
		return
	}
	value, err := parseValue(text)
	if err != nil {
		sc.report(n, name, "value can't be read, want plain text or text in closed quotes")
		return
	}
	sc.current.Keys = append(sc.current.Keys, Key{Name: name, Value: value, Line: n})
}

// multiLineQuote starts a value that the INI library reads over several lines.
// The library returns an empty value if the closing quote is missing, so
// parseValue rejects such values.
const multiLineQuote = `"""`

var errMultiLine = errors.New("multi-line value")

// parseValue returns the value of a "key = value" line without quotes and
// trailing comment.
func parseValue(text string) (string, error) {
	if _, raw, _ := strings.Cut(text, "="); strings.HasPrefix(strings.TrimSpace(raw), multiLineQuote) {
		return "", errMultiLine
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(text))
	if err != nil {
		return "", err
	}
	keys := f.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		return "", fmt.Errorf("%d keys on one line", len(keys))
	}
	return keys[0].Value(), nil
}
