package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/wire"
)

const base = `# alert dispatch
[service alert-core]
deadline = 2s
max-deadline = 5s ; longest
[team night-nurses]
weight = 10
services = alert-core
[retry]
budget = 0.2
`

const overlaySvB = `[service alert-core]
deadline = 1s
[retry]
max-attempts = 1
`

func sources() []Source {
	return []Source{{File: "base.ini", Text: []byte(base)}, {Site: "sv-b", File: "sv-b.ini", Text: []byte(overlaySvB)}}
}

func parse(t *testing.T) *Document {
	doc, err := Parse(sources())
	require.NoError(t, err)
	return doc
}

// An overlay overrides the base, and the base overrides the defaults.
func TestOverlayOverridesBaseAndDefaults(t *testing.T) {
	doc := parse(t)
	at := doc.Effective("sv-a")
	require.Equal(t, 2*time.Second, at.Services["alert-core"].Deadline)
	require.Equal(t, 5*time.Second, at.Services["alert-core"].MaxDeadline)
	require.Equal(t, uint32(1000), at.Services["alert-core"].MaxTasks)
	require.Equal(t, []string{"alert-core"}, at.Teams["night-nurses"].Services)
	require.Equal(t, Retry{Budget: 0.2, MaxAttempts: 3}, at.Retry)
	at = doc.Effective("sv-b")
	require.Equal(t, time.Second, at.Services["alert-core"].Deadline)
	require.Equal(t, Retry{Budget: 0.2, MaxAttempts: 1}, at.Retry)
}

// Each error names the file, line, section and key, and the valid values.
func TestProblemsNameLocationAndValidValues(t *testing.T) {
	tests := []struct {
		name, base, overlay string
		want                string
	}{
		{"unknown section", "[servise a]\n", "", "base.ini:1: [servise a]: unknown section; valid: [service NAME]"},
		{"unknown key", "[service a]\n\ndedline = 1s\n", "", "base.ini:3: [service a] dedline: unknown key; valid: one of max-tasks"},
		{"not a duration", "[service a]\ndeadline = 5\n", "", `base.ini:2: [service a] deadline: "5" is not a duration; valid: a duration from 1ms`},
		{"out of range", "[retry]\nbudget = 1.5\n", "", "base.ini:2: [retry] budget: 1.5 is outside 0 to 1; valid: a number from 0 to 1"},
		{"key twice", "[retry]\nbudget=0\nbudget=1\n", "", "base.ini:3: [retry] budget: key appears twice, first on line 2"},
		{"section twice", "[retry]\n[retry]\n", "", "base.ini:2: [retry]: section appears twice, first on line 1"},
		{"key outside", "budget = 1\n", "", "base.ini:1: budget: key before the first [section]"},
		{"open quotes", "[team a]\nservices = \"\"\"\nx\n", "", "base.ini:2: [team a] services: value can't be read, want plain text or text in closed quotes"},
		{"no key", "[team a]\nx\n", "", `base.ini:2: [team a]: line "x": want key = value`},
		{"no such service", "[team a]\nweight = 2\nservices = b\n", "", "base.ini:3: [team a] services: there is no service b"},
		{"deadlines cross", "[service a]\ndeadline = 2m\n", "", "base.ini:2: [service a] deadline: deadline 2m0s is above max-deadline 1m0s"},
		{"deadlines cross in overlay", "[service a]\n", "[service a]\nmax-deadline = 1s\n", "sv-b.ini:2: [service a] max-deadline: deadline 10s is above"},
		{"overlay adds", "[service a]\n", "[service b]\n", "sv-b.ini:1: [service b]: the base has no service b, and an overlay only changes what exists; valid: sections of the base: service a"},
		{"not a header", "[service a\n", "", `section header "[service a": want [name]`},
		{"NaN", "[retry]\nbudget = nan\n", "", `"nan" is not a number`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]Source{{File: "base.ini", Text: []byte(tt.base)}, {Site: "sv-b", File: "sv-b.ini", Text: []byte(tt.overlay)}})
			require.ErrorContains(t, err, tt.want)
			require.NotEmpty(t, Problems(err))
		})
	}
}

// A check reports the problems of all files together.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := Parse([]Source{
		{File: "base.ini", Text: []byte("[service a]\ndeadline = x\nmax-tasks = 0\n")},
		{Site: "sv-b", File: "sv-b.ini", Text: []byte("[service a]\nnope = 1\n")},
	})
	require.Len(t, Problems(err), 3)
}

// The default of every key of a service, a team and the retry policy is itself
// valid. Routes are not covered.
func TestDefaultsAreValid(t *testing.T) {
	for _, kind := range []string{kindService, kindTeam, kindRetry} {
		for _, k := range Keys(kind) {
			require.NoError(t, checkValue(kind, k.Name, k.Default), "%s %s", kind, k.Name)
		}
	}
}

func drawDocument(t *rapid.T, label string) *Document {
	var sections []wire.ConfigSection
	for _, site := range []string{"", "sv-a", "sv-b"} {
		for _, name := range []string{"service a", "service b", "team x", "retry"} {
			// An overlay may only contain sections of the base.
			if site != "" && !slices.ContainsFunc(sections, func(s wire.ConfigSection) bool { return s.Site == "" && s.Name == name }) {
				continue
			}
			if rapid.Bool().Draw(t, label+site+name) {
				sections = append(sections, drawSection(t, site, name))
			}
		}
	}
	doc, err := FromSections(sections)
	if err != nil {
		t.Fatalf("generated sections are not valid: %v", err)
	}
	return doc
}

func drawSection(t *rapid.T, site, name string) wire.ConfigSection {
	s := wire.ConfigSection{Site: site, Name: name}
	kind, _, _ := splitSection(name)
	values := map[string][]string{
		kindService: {"max-tasks", "max-waiting"},
		kindTeam:    {"weight", "max-running"},
		kindRetry:   {"max-attempts"},
	}
	for _, key := range values[kind] {
		if n := rapid.IntRange(0, 3).Draw(t, key); n > 0 {
			s.Keys = append(s.Keys, wire.ConfigPair{Key: key, Value: fmt.Sprint(n)})
		}
	}
	return s
}

// A difference that was encoded and decoded, applied to its starting document,
// gives the target document. Applied to any other document, it is either refused
// or also gives the target document.
func TestDiffAppliesToItsBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		push := to.Push(9, from, 4)
		raw, err := push.MarshalMsg(nil)
		require.NoError(t, err)
		var got wire.ConfigPush
		_, err = got.UnmarshalMsg(raw)
		require.NoError(t, err)
		next, err := from.Receive(4, &got)
		require.NoError(t, err)
		require.Equal(t, to.Digest(), next.Digest())
		require.True(t, Diff(next, to).Empty())
		require.Equal(t, Diff(from, to).Empty(), from.Digest() == to.Digest())

		_, err = from.Receive(3, &got)
		require.Error(t, err, "a difference from another index must be refused")
		if other := drawDocument(t, "other"); other.Digest() != from.Digest() {
			if wrong, err := other.Receive(4, &got); err == nil {
				require.Equal(t, to.Digest(), wrong.Digest())
			}
		}
	})
}

// Two lists of sections with the same strings in the same order have different
// digests.
func TestDigestSeparatesSections(t *testing.T) {
	one := newDocument([]wire.ConfigSection{{Site: "a", Name: "b", Keys: []wire.ConfigPair{{Key: "c", Value: "d"}}}})
	two := newDocument([]wire.ConfigSection{{Site: "a", Name: "b"}, {Site: "c", Name: "d"}})
	require.NotEqual(t, one.Digest(), two.Digest())
	three := newDocument([]wire.ConfigSection{{Site: "a", Name: "b", Keys: []wire.ConfigPair{{Key: "cd"}}}})
	require.NotEqual(t, one.Digest(), three.Digest())
}

// Parse reads the output of Format back as the same document.
func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := drawDocument(t, "doc")
		src := []Source{{File: "base.ini", Text: doc.Format("")}}
		for _, site := range doc.Sites() {
			src = append(src, Source{Site: site, File: site, Text: doc.Format(site)})
		}
		again, err := Parse(src)
		require.NoError(t, err)
		require.Equal(t, doc.Digest(), again.Digest())
	})
}

// For any text, Parse does not panic, and a document that it accepts survives
// Format and Parse unchanged.
func FuzzParse(f *testing.F) {
	f.Add(base)
	f.Add(overlaySvB)
	f.Add("[retry]\nbudget = `1`\n")
	f.Add("[service a]\n; x\nmax-tasks = 7 # y\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse([]Source{{File: "f", Text: []byte(text)}})
		if err != nil {
			require.NotEmpty(t, Problems(err))
			return
		}
		again, err := Parse([]Source{{File: "g", Text: doc.Format("")}})
		require.NoError(t, err, strings.TrimSpace(text))
		require.Equal(t, doc.Digest(), again.Digest())
	})
}
