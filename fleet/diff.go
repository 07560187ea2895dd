package fleet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fireflytray/fireflytray/wire"
)

// Change is the difference between two documents, by section.
type Change struct {
	// Sections are the sections that are new or have changed.
	Sections []wire.ConfigSection
	// Removed lists the removed sections in the form of SectionRef.
	Removed []string
}

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool { return len(c.Sections) == 0 && len(c.Removed) == 0 }

// SectionRef returns the reference to a section of a site ("" for the base).
func SectionRef(site, name string) string { return site + "/" + name }

// Diff returns the change that turns from into to.
func Diff(from, to *Document) Change {
	var c Change
	for _, s := range to.sections {
		old := from.section(s.Site, s.Name)
		if old == nil || !slices.Equal(old.Keys, s.Keys) {
			c.Sections = append(c.Sections, s)
		}
	}
	for _, s := range from.sections {
		if to.section(s.Site, s.Name) == nil {
			c.Removed = append(c.Removed, SectionRef(s.Site, s.Name))
		}
	}
	return c
}

// Apply returns the document after a change, validated as a whole. Removing a
// section that does not exist is an error.
func (d *Document) Apply(c Change) (*Document, error) {
	next := make([]wire.ConfigSection, 0, len(d.sections)+len(c.Sections))
	replaced := make(map[string]bool, len(c.Removed)+len(c.Sections))
	for _, ref := range c.Removed {
		site, name, _ := strings.Cut(ref, "/")
		if d.section(site, name) == nil {
			return nil, fmt.Errorf("fleet: apply change: there is no section %q to remove", ref)
		}
		replaced[ref] = true
	}
	for _, s := range c.Sections {
		replaced[SectionRef(s.Site, s.Name)] = true
	}
	for _, s := range d.sections {
		if !replaced[SectionRef(s.Site, s.Name)] {
			next = append(next, s)
		}
	}
	return FromSections(append(next, c.Sections...))
}

// Push returns the message that updates a process from document from at index
// base to d at the given index. If from is nil or base is zero, the message
// carries the whole document.
func (d *Document) Push(index uint64, from *Document, base uint64) *wire.ConfigPush {
	msg := &wire.ConfigPush{Index: index, Digest: d.digest}
	if from == nil || base == 0 {
		msg.Sections = d.sections
		return msg
	}
	c := Diff(from, d)
	msg.Base, msg.Sections, msg.Removed = base, c.Sections, c.Removed
	return msg
}

// Receive returns the document that results from applying a push to d, the
// active document, which has the given index. It is an error if the digest of the result is not
// the one in the push.
func (d *Document) Receive(index uint64, msg *wire.ConfigPush) (*Document, error) {
	next, err := d.receive(index, msg)
	if err != nil {
		return nil, fmt.Errorf("fleet: receive configuration %d: %w", msg.Index, err)
	}
	if next.digest != msg.Digest {
		return nil, fmt.Errorf("fleet: receive configuration %d: digest %x, want %x", msg.Index, next.digest, msg.Digest)
	}
	return next, nil
}

func (d *Document) receive(index uint64, msg *wire.ConfigPush) (*Document, error) {
	if msg.Base == 0 {
		return FromSections(msg.Sections)
	}
	if msg.Base != index {
		return nil, fmt.Errorf("difference from %d, but %d is active", msg.Base, index)
	}
	return d.Apply(Change{msg.Sections, msg.Removed})
}
