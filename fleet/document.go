package fleet

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflytray/fireflytray/wire"
)

// Document is a complete, validated configuration: the base and every overlay,
// as sections sorted by site and name with sorted keys. It is immutable.
type Document struct {
	sections []wire.ConfigSection
	digest   uint64
}

// Empty returns the document of a fleet without configuration.
func Empty() *Document { return newDocument(nil) }

// newDocument returns a document with a sorted copy of the sections. Duplicate
// sections stay adjacent, which checker.check relies on to find them.
func newDocument(sections []wire.ConfigSection) *Document {
	d := &Document{sections: make([]wire.ConfigSection, len(sections))}
	for i, s := range sections {
		s.Keys = slices.Clone(s.Keys)
		slices.SortFunc(s.Keys, func(a, b wire.ConfigPair) int {
			return cmp.Or(strings.Compare(a.Key, b.Key), strings.Compare(a.Value, b.Value))
		})
		d.sections[i] = s
	}
	slices.SortStableFunc(d.sections, compareSections)
	d.digest = digest(d.sections)
	return d
}

func compareSections(a, b wire.ConfigSection) int {
	return cmp.Or(strings.Compare(a.Site, b.Site), strings.Compare(a.Name, b.Name))
}

// Sections returns the sections in canonical order. The caller must not
// change them.
func (d *Document) Sections() []wire.ConfigSection { return d.sections }

// Digest returns a hash over all sections in canonical order.
func (d *Document) Digest() uint64 { return d.digest }

// digest hashes every string with its length, so that different lists of sections
// have different encodings.
func digest(sections []wire.ConfigSection) uint64 {
	h := xxhash.New()
	var buf []byte
	for _, s := range sections {
		buf = appendString(appendString(buf[:0], s.Site), s.Name)
		buf = binary.AppendUvarint(buf, uint64(len(s.Keys)))
		for _, p := range s.Keys {
			buf = appendString(appendString(buf, p.Key), p.Value)
		}
		_, _ = h.Write(buf) // never fails
	}
	return h.Sum64()
}

func appendString(buf []byte, s string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(s))), s...)
}

// Sites returns the sites that have an overlay, sorted.
func (d *Document) Sites() []string {
	var out []string
	for _, s := range d.sections {
		if s.Site != "" && (len(out) == 0 || out[len(out)-1] != s.Site) {
			out = append(out, s.Site)
		}
	}
	return out
}

// section returns a section, or nil if the document has none of that name.
func (d *Document) section(site, name string) *wire.ConfigSection {
	i, ok := slices.BinarySearchFunc(d.sections, wire.ConfigSection{Site: site, Name: name}, compareSections)
	if !ok {
		return nil
	}
	return &d.sections[i]
}

// sectionNames returns the names of a site's sections.
func (d *Document) sectionNames(site string) []string {
	var out []string
	for _, s := range d.sections {
		if s.Site == site {
			out = append(out, s.Name)
		}
	}
	return out
}

// originOf returns the path of the first of keys that is set in the site's
// overlay, otherwise in the base. If neither sets one, it returns the path of
// keys[0] in the base.
func (d *Document) originOf(site, section string, keys ...string) configPath {
	for _, from := range []string{site, ""} {
		s := d.section(from, section)
		if s == nil {
			continue
		}
		for _, key := range keys {
			if slices.ContainsFunc(s.Keys, func(p wire.ConfigPair) bool { return p.Key == key }) {
				return configPath{from, section, key}
			}
		}
	}
	return configPath{"", section, keys[0]}
}

// Effective returns the configuration of a site: the defaults, overridden by the
// base, overridden by the site's overlay. The caller sets Index.
func (d *Document) Effective(site string) *Config {
	conf := &Config{Digest: d.digest, Services: map[string]Service{}, Teams: map[string]Team{}, Domains: map[string]Domain{}}
	setDefaults(&conf.Retry, retryFields)
	routes := map[string]Route{}
	for _, s := range d.sections {
		if s.Site == "" {
			conf.applySection(s, routes)
		}
	}
	for _, s := range d.sections {
		if s.Site == site && site != "" {
			conf.applySection(s, routes)
		}
	}
	conf.Routes = newRoutes(routes)
	return conf
}

// applySection applies one validated section on top of the values set so far.
func (c *Config) applySection(s wire.ConfigSection, routes map[string]Route) {
	kind, name, _ := splitSection(s.Name)
	switch kind {
	case kindService:
		c.Services[name] = overlay(c.Services, name, Service{Name: name}, serviceFields, s.Keys)
	case kindTeam:
		c.Teams[name] = overlay(c.Teams, name, Team{Name: name}, teamFields, s.Keys)
	case kindRoute:
		routes[name] = overlay(routes, name, Route{Name: name}, routeFields, s.Keys)
	case kindRetry:
		setPairs(&c.Retry, retryFields, s.Keys)
	case kindDomain:
		c.Domains[name] = overlay(c.Domains, name, Domain{Name: name}, domainFields, s.Keys)
	}
}

// overlay returns existing[name], or initial with the defaults if there is none,
// with pairs applied on top.
func overlay[T any](existing map[string]T, name string, initial T, fields []field[T], pairs []wire.ConfigPair) T {
	v, ok := existing[name]
	if !ok {
		v = initial
		setDefaults(&v, fields)
	}
	setPairs(&v, fields, pairs)
	return v
}

func setPairs[T any](dst *T, fields []field[T], pairs []wire.ConfigPair) {
	for _, p := range pairs {
		if err := setField(dst, fields, p.Key, p.Value); err != nil {
			panic(fmt.Sprintf("fleet: unchecked value of %s: %v", p.Key, err))
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Format returns a site's sections ("" for the base) in INI format, as in the
// operators' files: without the orders for failure domains.
func (d *Document) Format(site string) []byte {
	var b strings.Builder
	for _, s := range d.sections {
		if s.Site != site || IsDomain(s) {
			continue
		}
		fmt.Fprintf(&b, "[%s]\n", s.Name)
		for _, p := range s.Keys {
			fmt.Fprintf(&b, "%s = %s\n", p.Key, p.Value)
		}
		b.WriteByte('\n')
	}
	return []byte(b.String())
}
