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
		s    keyLister
	}{
		{"fireflytray-control", new(Control)},
		{"fireflytray-entry", new(Entry)},
		{"fireflytray-agent", new(Agent)},
		{"fireflytray upstream", new(Upstream)},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| section | key | default | valid | meaning |\n|---|---|---|---|---|\n", program.name)
		for _, k := range sortKeys(program.s.keys("")) {
			fmt.Fprintf(&b, "| `[%s]` | `%s` | %s | %s | %s |\n", k.section, k.name, defaultText(k), k.validText, k.help)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// sortKeys orders keys by section, and required ones first.
func sortKeys(keys []key) []key {
	slices.SortStableFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.section, b.section), cmp.Compare(requiredRank(a), requiredRank(b)), cmp.Compare(a.name, b.name))
	})
	return keys
}

func requiredRank(k key) int {
	if k.required {
		return 0
	}
	return 1
}

func defaultText(k key) string {
	switch {
	case k.required:
		return "required"
	case k.defaultValue == "":
		return "empty"
	}
	return "`" + k.defaultValue + "`"
}
