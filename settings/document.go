package settings

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Document writes the page of all settings in Markdown.
func Document(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# Settings of a process\n\n")
	b.WriteString("Each process reads one INI file, given by `--config`. `--check` reads it, prints every error and exits. ")
	b.WriteString("Unknown sections and keys are errors. This page is written by `fireflytray settings`.\n")
	for _, program := range []struct {
		name string
		s    keyed
	}{
		{"fireflytray-control", new(Control)},
		{"fireflytray-entry", new(Entry)},
		{"fireflytray-agent", new(Agent)},
		{"fireflytray upstream", new(Upstream)},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| section | key | default | valid | meaning |\n|---|---|---|---|---|\n", program.name)
		for _, k := range sorted(program.s.keys("")) {
			fmt.Fprintf(&b, "| `[%s]` | `%s` | %s | %s | %s |\n", k.section, k.name, defaultText(k), k.valid, k.help)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// sorted orders keys by section, and required ones first.
func sorted(keys []key) []key {
	slices.SortStableFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.section, b.section), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.name, b.name))
	})
	return keys
}

func rank(k key) int {
	if k.required {
		return 0
	}
	return 1
}

func defaultText(k key) string {
	switch {
	case k.required:
		return "required"
	case k.fallback == "":
		return "empty"
	}
	return "`" + k.fallback + "`"
}
