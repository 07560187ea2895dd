package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fireflytray/fireflytray/inifile"
	"github.com/fireflytray/fireflytray/wire"
)

// Source is one INI file: the base (empty Site) or the overlay of a site.
type Source struct {
	Site string
	// File is the file name used in errors.
	File string
	Text []byte
}

// Problem is one error in a configuration.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	// Reason describes the error.
	Reason string
	// Valid describes the accepted values.
	Valid string
}

// String returns the problem as one line: file:line: [section] key: reason.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(":")
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Section != "" || p.Key != "" {
		b.WriteString(":")
	}
	fmt.Fprintf(&b, " %s", p.Reason)
	if p.Valid != "" {
		fmt.Fprintf(&b, "; valid: %s", p.Valid)
	}
	return b.String()
}

// CheckError lists every problem of a configuration.
type CheckError struct{ Problems []Problem }

// Error returns the problems, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses the base and the overlays and validates them together. Operators'
// orders for failure domains do not belong into files and are problems. The error is
// a *CheckError with every problem found.
func Parse(sources []Source) (*Document, error) {
	var c checker
	c.checkSources(sources)
	for _, src := range sources {
		c.parse(src)
	}
	doc, err := c.finish()
	if err != nil {
		return nil, err
	}
	c.checkReachable(doc)
	if len(c.problems) > 0 {
		return nil, &CheckError{c.problems}
	}
	return doc, nil
}

// FromSections validates sections that were not read from files and returns
// their document. The error is a *CheckError.
func FromSections(sections []wire.ConfigSection) (*Document, error) {
	c := checker{sections: sections}
	return c.finish()
}

// checker collects sections and problems.
type checker struct {
	sections []wire.ConfigSection
	problems []Problem
	// positions maps the path of a section or key to its file and line.
	positions map[configPath]filePosition
}

// configPath identifies a key, or a section if key is empty.
type configPath struct{ site, section, key string }

type filePosition struct {
	file string
	line int
}

func (c *checker) finish() (*Document, error) {
	if len(c.problems) > 0 {
		return nil, &CheckError{c.problems}
	}
	doc := newDocument(c.sections)
	if c.check(doc); len(c.problems) > 0 {
		return nil, &CheckError{c.problems}
	}
	return doc, nil
}

// addProblem records a problem with the position of its path. If the path has no
// position, the one of its section is used, then the name of the site.
func (c *checker) addProblem(at configPath, reason, valid string) {
	pos, ok := c.positions[at]
	if !ok {
		pos, ok = c.positions[configPath{at.site, at.section, ""}]
	}
	if !ok {
		pos.file = "base"
		if at.site != "" {
			pos.file = "site " + at.site
		}
	}
	c.problems = append(c.problems, Problem{pos.file, pos.line, at.section, at.key, reason, valid})
}

func (c *checker) checkSources(sources []Source) {
	seen := map[string]string{}
	for _, src := range sources {
		if src.Site != "" && !validName(src.Site) {
			c.problems = append(c.problems, Problem{File: src.File,
				Reason: fmt.Sprintf("%q can't name a site", src.Site), Valid: validNames})
		}
		if first, ok := seen[src.Site]; ok {
			c.problems = append(c.problems, Problem{File: src.File,
				Reason: fmt.Sprintf("the site %q has a file already: %s", src.Site, first),
				Valid:  "one base file and at most one overlay for each site"})
		}
		seen[src.Site] = src.File
	}
	if _, ok := seen[""]; !ok {
		c.problems = append(c.problems, Problem{File: "base", Reason: "there is no base file"})
	}
}

// parse collects the sections, problems and positions of one file.
func (c *checker) parse(src Source) {
	file, problems := inifile.Parse(src.File, src.Text)
	for _, p := range problems {
		c.problems = append(c.problems, Problem{File: p.File, Line: p.Line, Section: p.Section, Key: p.Key, Reason: p.Text})
	}
	if c.positions == nil {
		c.positions = map[configPath]filePosition{}
	}
	for _, sec := range file.Sections {
		out := wire.ConfigSection{Site: src.Site, Name: sec.Name}
		c.positions[configPath{src.Site, sec.Name, ""}] = filePosition{src.File, sec.Line}
		if IsDomain(out) {
			c.addProblem(configPath{src.Site, sec.Name, ""}, "orders for failure domains are not part of the files",
				"the commands fireflytray evacuate and fireflytray take-back")
		}
		for _, key := range sec.Keys {
			c.positions[configPath{src.Site, sec.Name, key.Name}] = filePosition{src.File, key.Line}
			out.Keys = append(out.Keys, wire.ConfigPair{Key: key.Name, Value: key.Value})
		}
		c.sections = append(c.sections, out)
	}
}

// check validates names, keys, values and references of a whole document. The
// checks between values run only if each section is valid by itself.
func (c *checker) check(doc *Document) {
	for i, s := range doc.sections {
		if i > 0 && compareSections(doc.sections[i-1], s) == 0 {
			c.addProblem(configPath{s.Site, s.Name, ""}, "the section stands twice", "each section once")
		}
		c.checkSection(doc, s)
	}
	if len(c.problems) > 0 {
		return
	}
	for _, site := range append([]string{""}, doc.Sites()...) {
		c.checkEffective(doc, site)
	}
}

func (c *checker) checkSection(doc *Document, s wire.ConfigSection) {
	at := configPath{s.Site, s.Name, ""}
	kind, name, ok := splitSection(s.Name)
	if !ok {
		c.addProblem(at, "unknown section", validSections+"; NAME: "+validNames)
		return
	}
	if s.Site != "" && !validName(s.Site) {
		c.addProblem(at, fmt.Sprintf("%q can't name a site", s.Site), validNames)
	}
	if s.Site != "" && doc.section("", s.Name) == nil && kind != kindRetry {
		c.addProblem(at, fmt.Sprintf("the base has no %s %s, and an overlay only changes what exists", kind, name),
			"sections of the base: "+strings.Join(doc.sectionNames(""), ", "))
	}
	if s.Site != "" && kind == kindDomain {
		c.addProblem(at, "an overlay can't hold orders for failure domains", "sections of the base")
	}
	for i, pair := range s.Keys {
		at.key = pair.Key
		if i > 0 && s.Keys[i-1].Key == pair.Key {
			c.addProblem(at, "the key stands twice", "each key once a section")
		}
		c.checkPair(at, kind, pair)
	}
}

func (c *checker) checkPair(at configPath, kind string, pair wire.ConfigPair) {
	keys := Keys(kind)
	i := slices.IndexFunc(keys, func(k Key) bool { return k.Name == pair.Key })
	if i < 0 {
		c.addProblem(at, "unknown key", "one of "+keyNames(keys))
		return
	}
	if err := checkValue(kind, pair.Key, pair.Value); err != nil {
		c.addProblem(at, err.Error(), keys[i].Valid)
	}
}

// checkEffective validates relations between values in the effective
// configuration of one site.
func (c *checker) checkEffective(doc *Document, site string) {
	conf := doc.Effective(site)
	for _, name := range sortedKeys(conf.Services) {
		s := conf.Services[name]
		section := kindService + " " + name
		if s.Deadline > s.MaxDeadline {
			c.addProblem(doc.originOf(site, section, "deadline", "max-deadline"),
				fmt.Sprintf("deadline %s is above max-deadline %s", s.Deadline, s.MaxDeadline), "deadline up to max-deadline")
		}
		if s.KeyKeep < s.MaxDeadline {
			c.addProblem(doc.originOf(site, section, "key-keep", "max-deadline"),
				fmt.Sprintf("key-keep %s is below max-deadline %s", s.KeyKeep, s.MaxDeadline), "key-keep from max-deadline up")
		}
	}
	c.checkRoutes(doc, site, conf)
	for _, name := range sortedKeys(conf.Teams) {
		for _, service := range conf.Teams[name].Services {
			if _, ok := conf.Services[service]; !ok {
				c.addProblem(doc.originOf(site, kindTeam+" "+name, "services"),
					fmt.Sprintf("there is no service %s", service), "services: "+strings.Join(sortedKeys(conf.Services), ", "))
			}
		}
	}
}

// checkRoutes validates that each route refers to an existing service and that no
// two routes have the same host and prefix.
func (c *checker) checkRoutes(doc *Document, site string, conf *Config) {
	for _, host := range sortedKeys(conf.Routes.byHost) {
		var previous *Route
		for _, r := range conf.Routes.byHost[host] {
			section := kindRoute + " " + r.Name
			if _, ok := conf.Services[r.Service]; !ok {
				c.addProblem(doc.originOf(site, section, "service"),
					fmt.Sprintf("there is no service %q", r.Service), "services: "+strings.Join(sortedKeys(conf.Services), ", "))
			}
			if previous != nil && previous.Prefix == r.Prefix {
				c.addProblem(doc.originOf(site, section, "prefix", "host"),
					fmt.Sprintf("route %s has the same host and prefix", previous.Name), "each host and prefix once")
			}
			previous = r
		}
	}
}

// validNames describes the valid names of services, teams, routes and sites.
const validNames = "lower-case letters, digits, - and _, at most 64"

// splitSection returns the kind and the name in a section header; ok reports
// whether the header is valid.
func splitSection(header string) (kind, name string, ok bool) {
	if header == kindRetry {
		return kindRetry, "", true
	}
	kind, name, found := strings.Cut(header, " ")
	if found && kind == kindDomain && ValidDomain(name) {
		return kind, name, true
	}
	if !found || !validName(name) {
		return "", "", false
	}
	return kind, name, kind == kindService || kind == kindTeam || kind == kindRoute
}

func keyNames(keys []Key) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}

// Problems returns the problems of a *CheckError in err's chain, and nil for any
// other error and for nil.
func Problems(err error) []Problem {
	var check *CheckError
	if errors.As(err, &check) {
		return check.Problems
	}
	return nil
}
