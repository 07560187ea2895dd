package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fireflytray/fireflytray/inifile"
)

// keyLister is implemented by the settings of every kind of process. Base is the
// folder against which relative paths are resolved.
type keyLister interface {
	keys(base string) []key
}

// crossValidator is implemented by settings with constraints between keys.
type crossValidator interface {
	check() []violation
}

// violation is a violated constraint between keys, reported at one of them.
type violation struct {
	section, key, text string
}

// LoadControl reads the settings of a control host.
func LoadControl(path string) (*Control, error) { return load(path, new(Control)) }

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (*Entry, error) { return load(path, new(Entry)) }

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (*Agent, error) { return load(path, new(Agent)) }

// LoadUpstream reads the settings of a stand-in upstream.
func LoadUpstream(path string) (*Upstream, error) { return load(path, new(Upstream)) }

// load reads the file at path into s. If the file is invalid, the error is an
// inifile.Problems that lists every problem.
func load[T keyLister](path string, s T) (T, error) {
	var zero T
	text, err := os.ReadFile(path)
	if err != nil {
		return zero, fmt.Errorf("settings: read: %w", err)
	}
	if err := parse(path, text, s); err != nil {
		return zero, err
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

// unknownNames returns a problem for each section or key of the file that is not
// in keys.
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

// apply stores the values of the file, and defaults for keys that it omits. It
// returns a problem for each missing or invalid value.
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

func violationProblems(file *inifile.File, violations []violation) inifile.Problems {
	var problems inifile.Problems
	for _, v := range violations {
		p := inifile.Problem{File: file.Name, Section: v.section, Key: v.key, Text: v.text}
		if s := file.Lookup(v.section); s != nil {
			k, _ := s.Lookup(v.key)
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

// check requires the policy that Speeds extends.
func (e *Entry) check() []violation {
	if e.Speeds && e.Placement != PlacementCredits {
		return []violation{{"placement", "speeds", fmt.Sprintf("is true with policy %s, want policy %s", e.Placement, PlacementCredits)}}
	}
	return nil
}

// check requires a data folder unless the process only redirects the platform's
// operators, and requires an initial control host to list its own address.
func (c *Control) check() []violation {
	if c.Data == "" && c.Operators == "" {
		return []violation{{"data", "folder", "is empty, want a folder, or [platform] operators to redirect requests"}}
	}
	if c.Join || c.JoinUnlisted || slices.Contains(c.Initial, c.Peers) {
		return nil
	}
	return []violation{{"cluster", "initial", fmt.Sprintf("lacks this host's own address %s, want it in the list or join = true", c.Peers)}}
}
