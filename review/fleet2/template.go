package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-zA-Z.]+)\}\}(.*?)\{\{/([a-zA-Z.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)
)

// render renders a settings template of the deploy folder. It supports values and
// sections of a truth value, which is what these templates use.
func render(path string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read template: %w", err)
	}
	out := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		isSet := fields[m[2]] == "true"
		if isSet == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	out = valuePattern.ReplaceAllStringFunc(out, func(value string) string {
		return fields[strings.Trim(value, "{}")]
	})
	return out, nil
}
