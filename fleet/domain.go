package fleet

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/fireflytray/fireflytray/wire"
)

// domainPattern matches the names of failure domains. It is that of certificates,
// which name the domain of each process.
var domainPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// validDomains describes the valid names of failure domains.
const validDomains = "letters, digits, ., - and _, at most 63"

// ValidDomain reports whether s can name a failure domain.
func ValidDomain(s string) bool { return domainPattern.MatchString(s) }

// IsDomain reports whether a section holds operators' orders for a failure domain.
// Such sections are not part of the operators' files.
func IsDomain(s wire.ConfigSection) bool { return strings.HasPrefix(s.Name, kindDomain+" ") }

// EvacuatedDomains returns the names of the evacuated failure domains, sorted.
func (d *Document) EvacuatedDomains() []string {
	domains := d.domains()
	return slices.DeleteFunc(sortedKeys(domains), func(name string) bool { return !domains[name].Evacuated })
}

// domains returns the failure domains that have a section.
func (d *Document) domains() map[string]Domain {
	conf := &Config{Domains: map[string]Domain{}}
	for _, s := range d.sections {
		if IsDomain(s) {
			conf.applySection(s, nil)
		}
	}
	return conf.Domains
}

// WithEvacuation returns the document with a failure domain evacuated or taken back.
// It returns d if that changes nothing.
func (d *Document) WithEvacuation(domain string, evacuated bool) (*Document, error) {
	if !ValidDomain(domain) {
		return nil, fmt.Errorf("fleet: %q can't name a failure domain, want %s", domain, validDomains)
	}
	if d.domains()[domain].Evacuated == evacuated {
		return d, nil
	}
	section := wire.ConfigSection{Name: kindDomain + " " + domain}
	if !evacuated {
		return d.Apply(Change{Removed: []string{SectionRef("", section.Name)}})
	}
	section.Keys = []wire.ConfigPair{{Key: keyEvacuated, Value: "true"}}
	return d.Apply(Change{Sections: []wire.ConfigSection{section}})
}

// WithDomainsOf returns the document with the orders for failure domains of another
// document in place of its own.
func (d *Document) WithDomainsOf(other *Document) (*Document, error) {
	if len(d.domains()) == 0 && len(other.domains()) == 0 {
		return d, nil
	}
	sections := slices.DeleteFunc(slices.Clone(d.sections), IsDomain)
	for _, s := range other.sections {
		if IsDomain(s) {
			sections = append(sections, s)
		}
	}
	return FromSections(sections)
}
