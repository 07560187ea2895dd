package fleet

import (
	"fmt"
	"strings"
)

// ComparablePath returns the form in which paths and prefixes are compared: without escapes,
// empty segments, "." and "..". The last segment is only unescaped, so that a prefix and what
// follows it can be joined before or after.
func ComparablePath(path string) string {
	if !strings.Contains(path, "%") && !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return path
	}
	segments := strings.Split(unescapePath(path), "/")
	last := len(segments) - 1
	kept := make([]string, 0, len(segments))
	for _, s := range segments[:last] {
		switch s {
		case "", ".":
		case "..":
			kept = kept[:max(0, len(kept)-1)]
		default:
			kept = append(kept, s)
		}
	}
	return "/" + strings.Join(append(kept, segments[last]), "/")
}

// escapeBytes is the length of an escaped byte, such as %20.
const escapeBytes = 3

// unescapePath leaves what isn't an escape as it is, unlike url.PathUnescape.
func unescapePath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		if c, ok := escapedByte(path[i:]); ok {
			out.WriteByte(c)
			i += escapeBytes - 1
		} else {
			out.WriteByte(path[i])
		}
	}
	return out.String()
}

// escapedByte returns the byte that is escaped at the start of s.
func escapedByte(s string) (c byte, ok bool) {
	if len(s) < escapeBytes || s[0] != '%' {
		return 0, false
	}
	high, low := hexDigit(s[1]), hexDigit(s[2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int { return strings.IndexByte("0123456789abcdef", lowerByte(c)) }

// checkPrefix returns an error if no request's path can begin with a prefix.
func checkPrefix(prefix string) error {
	for i := range len(prefix) {
		if c := prefix[i]; c == '?' || c == '#' || c < ' ' || c == 0x7f {
			return fmt.Errorf("%q is not part of a path", prefix)
		}
	}
	return nil
}
