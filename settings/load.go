package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fireflytray/fireflytray/inifile"
)

// keyLister is implemented by the settings of every kind of process.
type keyLister interface {
	keys(base string) []key
}

// crossValidator is implemented by settings with rules across keys.
type crossValidator interface {
	check() []violation
}

// violation is a broken rule across keys.
type violation struct {
	section, key, text string
}

// LoadControl reads a control host's settings.
func LoadControl(path string) (*Control, error) { return load(path, new(Control)) }

// LoadEntry reads an entry's settings.
func LoadEntry(path string) (*Entry, error) { return load(path, new(Entry)) }

// LoadAgent reads an agent's settings.
func LoadAgent(path string) (*Agent, error) { return load(path, new(Agent)) }

// LoadUpstream reads a stand-in upstream's settings.
func LoadUpstream(path string) (*Upstream, error) { return load(path, new(Upstream)) }

// load reads the file at path into s. Its error lists every problem of the
// file, as inifile.Problems.
func load[T keyLister](path string, s T) (T, error) {
	var none T
	text, err := os.ReadFile(path)
	if err != nil {
		return none, fmt.Errorf("settings: read: %w", err)
	}
	if err := parse(path, text, s); err != nil {
		return none, err
	}
	return s, nil
}

func parse(path string, text []byte, s keyLister) error {
	file, problems := inifile.Parse(path, text)
	keys := s.keys(filepath.Dir(path))
	problems = append(problems, unknownNames(file, keys)...)
	problems = append(problems, apply(file, keys)...)
	if c, ok := s.(crossValidator); ok && len(problems) == 0 {
		problems = violationProblems(file, c.check())
	}
	return problems.Err()
}

// unknownNames reports the sections and keys that no key describes.
func unknownNames(file *inifile.File, keys []key) inifile.Problems {
	var problems inifile.Problems
	for _, s := range file.Sections {
		names := keyNames(keys, s.Name)
		if len(names) == 0 {
			problems = append(problems, inifile.Problem{
				File: file.Name, Line: s.Line, Section: s.Name,
				Text: "unknown section, want one of " + strings.Join(sectionNames(keys), ", "),
			})
			continue
		}
		for _, k := range s.Keys {
			if !slices.Contains(names, k.Name) {
				problems = append(problems, inifile.Problem{
					File: file.Name, Line: k.Line, Section: s.Name, Key: k.Name,
					Text: "unknown key, want one of " + strings.Join(names, ", "),
				})
			}
		}
	}
	return problems
}

// apply stores the file's values and the defaults.
func apply(file *inifile.File, keys []key) inifile.Problems {
	var problems inifile.Problems
	for _, k := range keys {
		p := inifile.Problem{File: file.Name, Section: k.section, Key: k.name}
		value, found := k.defaultValue, false
		if s := file.Lookup(k.section); s != nil {
			p.Line = s.Line
			if given, ok := s.Lookup(k.name); ok {
				value, found, p.Line = given.Value, true, given.Line
			}
		}
		switch {
		case k.required && !found:
			p.Text = "missing, want " + k.validText
		case !k.set(value):
			p.Text = fmt.Sprintf("%q is not valid, want %s", value, k.validText)
		default:
			continue
		}
		problems = append(problems, p)
	}
	return problems
}

func violationProblems(file *inifile.File, rules []violation) inifile.Problems {
	var problems inifile.Problems
	for _, r := range rules {
		p := inifile.Problem{File: file.Name, Section: r.section, Key: r.key, Text: r.text}
		if s := file.Lookup(r.section); s != nil {
			k, _ := s.Lookup(r.key)
			p.Line = k.Line
		}
		problems = append(problems, p)
	}
	return problems
}

func keyNames(keys []key, section string) []string {
	var names []string
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	return names
}

func sectionNames(keys []key) []string {
	var names []string
	for _, k := range keys {
		names = append(names, k.section)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// check reports a first control host that does not list itself.
func (c *Control) check() []violation {
	if c.Data == "" && c.Operators == "" {
		return []violation{{"data", "folder", "is empty, want a folder, or platform operators to send on"}}
	}
	if c.Join || c.JoinUnlisted || slices.Contains(c.Initial, c.Peers) {
		return nil
	}
	return []violation{{"cluster", "initial", fmt.Sprintf("lacks this host's own address %s, want it in the list or join = true", c.Peers)}}
}
