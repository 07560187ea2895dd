package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// key describes one key of a settings file and stores its value.
type key struct {
	section, name string
	// validText describes the valid values, phrased to follow the word "want".
	validText string
	help      string
	// defaultValue is the default; it is ignored if required.
	defaultValue string
	required     bool
	// set stores a value and reports whether it is valid.
	set func(value string) bool
}

// asRequired returns a copy of the key that has no default.
func (k key) asRequired() key {
	k.required = true
	return k
}

// withDefault returns a copy of the key with a default value.
func (k key) withDefault(value string) key {
	k.defaultValue = value
	return k
}

var labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func label(dst *string, section, name, help string) key {
	return key{
		section: section, name: name, help: help,
		validText: "1 to 63 letters, digits, '.', '_' or '-'",
		set: func(v string) bool {
			*dst = v
			return labelPattern.MatchString(v)
		},
	}
}

func oneOf(dst *string, section, name, help string, values ...string) key {
	return key{
		section: section, name: name, help: help,
		validText: "one of " + strings.Join(values, ", "),
		set: func(v string) bool {
			*dst = v
			return slices.Contains(values, v)
		},
	}
}

func hostPort(dst *string, section, name, help string) key {
	return key{
		section: section, name: name, help: help,
		validText: "IP:port that others can reach, such as 127.0.0.1:7101",
		set: func(v string) bool {
			*dst = v
			return validHostPort(v)
		},
	}
}

// loopbackHostPort describes an address on the loopback interface, which only
// processes on the same host can reach.
func loopbackHostPort(dst *string, section, name, help string) key {
	return key{
		section: section, name: name, help: help,
		validText: "IP:port of the loopback interface, such as 127.0.0.1:7201",
		set: func(v string) bool {
			*dst = v
			addr, err := netip.ParseAddrPort(v)
			return err == nil && addr.Port() != 0 && addr.Addr().IsLoopback()
		},
	}
}

// optionalHostPort describes a hostPort that may be empty.
func optionalHostPort(dst *string, section, name, help string) key {
	k := hostPort(dst, section, name, help)
	k.validText += ", or empty for none"
	set := k.set
	k.set = func(v string) bool {
		*dst = v
		return v == "" || set(v)
	}
	return k
}

func hostPorts(dst *[]string, section, name, help string) key {
	return key{
		section: section, name: name, help: help,
		validText: "IP:port, more than one separated by commas, none twice",
		set: func(v string) bool {
			*dst = splitList(v)
			for i, s := range *dst {
				if !validHostPort(s) || slices.Contains((*dst)[:i], s) {
					return false
				}
			}
			return len(*dst) > 0
		},
	}
}

func splitList(v string) []string {
	var list []string
	for s := range strings.SplitSeq(v, ",") {
		list = append(list, strings.TrimSpace(s))
	}
	return list
}

func validHostPort(v string) bool {
	addr, err := netip.ParseAddrPort(v)
	return err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified()
}

// folder describes a path; a relative path is resolved against base, the folder
// of the settings file.
func folder(dst *string, base, section, name, help string) key {
	return key{
		section: section, name: name, help: help,
		validText: "a path; a relative one starts at this file's folder",
		set: func(v string) bool {
			*dst = v
			if v != "" && !filepath.IsAbs(v) {
				*dst = filepath.Join(base, v)
			}
			return v != ""
		},
	}
}

// optionalFile describes a path that may be empty; a relative path is resolved
// as by folder.
func optionalFile(dst *string, base, section, name, help string) key {
	k := folder(dst, base, section, name, help)
	k.validText += ", or empty for none"
	set := k.set
	k.set = func(v string) bool { return set(v) || v == "" }
	return k
}

func boolean(dst *bool, section, name, help string) key {
	return key{
		section: section, name: name, help: help,
		validText: "true or false",
		set: func(v string) bool {
			*dst = v == "true"
			return v == "true" || v == "false"
		},
	}
}

func count(dst *uint32, section, name, help string, low, high uint32) key {
	return key{
		section: section, name: name, help: help,
		validText: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(v string) bool {
			n, err := strconv.ParseUint(v, 10, 32)
			*dst = uint32(n)
			return err == nil && *dst >= low && *dst <= high
		},
	}
}

func number(dst *float64, section, name, help string, low, high float64) key {
	return key{
		section: section, name: name, help: help,
		validText: fmt.Sprintf("a number from %g to %g", low, high),
		set: func(v string) bool {
			n, err := strconv.ParseFloat(v, 64)
			*dst = n
			return err == nil && n >= low && n <= high
		},
	}
}

func duration(dst *time.Duration, section, name, help string, low, high time.Duration) key {
	return key{
		section: section, name: name, help: help,
		validText: fmt.Sprintf("a duration from %v to %v, such as 500ms or 30s", low, high),
		set: func(v string) bool {
			d, err := time.ParseDuration(v)
			*dst = d
			return err == nil && d >= low && d <= high
		},
	}
}

// sizeUnits lists the suffixes of sizes; a size without a suffix is in bytes.
var sizeUnits = []struct {
	suffix string
	bytes  int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"", 1}}

func size(dst *int, section, name, help string, low, high int) key {
	return key{
		section: section, name: name, help: help,
		validText: fmt.Sprintf("a size from %d to %d bytes, such as 512KiB or 4MiB", low, high),
		set: func(v string) bool {
			n, ok := parseSize(v)
			*dst = n
			return ok && n >= low && n <= high
		},
	}
}

func parseSize(v string) (int, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 32)
		return int(n) * u.bytes, err == nil
	}
	return 0, false
}
