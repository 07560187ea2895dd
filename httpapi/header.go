package httpapi

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/task"
)

// Headers of requests.
const (
	HeaderTeam           = "Fireflytray-Team"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderIdempotent     = "Fireflytray-Idempotent"
	HeaderDeadline       = "Fireflytray-Deadline"
	HeaderDeclared       = "Fireflytray-Declared"
	HeaderNeed           = "Fireflytray-Need"
)

// Headers of answers.
const (
	HeaderSubmission = "Fireflytray-Submission"
	HeaderState      = "Fireflytray-State"
	HeaderMessages   = "Fireflytray-Messages"
	HeaderWasted     = "Fireflytray-Wasted"
	HeaderRan        = "Fireflytray-Ran"
	HeaderWorker     = "Fireflytray-Worker"
	HeaderReplayed   = "Fireflytray-Replayed"
)

const (
	maxNameLen   = 128
	maxKeyLen    = 255
	mbPerGB      = 1000
	milliPerCore = 1000
)

var errNoTeam = errors.New("team is missing: name it in " + HeaderTeam)

// decodeRequest reads a single request from its headers and body.
func decodeRequest(service string, req *fasthttp.Request) (task.Submission, error) {
	s := task.Submission{Service: service}
	var spec task.Spec
	var err error
	if s.Team, err = teamHeader(req); err != nil {
		return s, err
	}
	if s.IdempotencyKey, err = keyHeader(req); err != nil {
		return s, err
	}
	if s.Idempotent, err = boolHeader(req, HeaderIdempotent); err != nil {
		return s, err
	}
	if s.Deadline, err = durationHeader(req, HeaderDeadline); err != nil {
		return s, err
	}
	if spec.DeclaredRunTime, err = durationHeader(req, HeaderDeclared); err != nil {
		return s, err
	}
	if spec.Need, err = parseNeed(string(req.Header.Peek(HeaderNeed))); err != nil {
		return s, fmt.Errorf("header %s: %w", HeaderNeed, err)
	}
	spec.Payload = append([]byte{}, req.Body()...)
	s.Tasks = []task.Spec{spec}
	return s, nil
}

func teamHeader(req *fasthttp.Request) (string, error) {
	team := string(req.Header.Peek(HeaderTeam))
	if team == "" {
		return "", errNoTeam
	}
	return team, checkName("team", team)
}

func keyHeader(req *fasthttp.Request) (string, error) {
	raw := req.Header.Peek(HeaderIdempotencyKey)
	if raw == nil {
		return "", nil
	}
	key := string(raw)
	if key == "" || len(key) > maxKeyLen {
		return "", fmt.Errorf("header %s: want 1 to %d characters, got %d", HeaderIdempotencyKey, maxKeyLen, len(key))
	}
	for _, c := range raw {
		if c < ' ' || c > '~' {
			return "", fmt.Errorf("header %s: want printable ASCII only", HeaderIdempotencyKey)
		}
	}
	return key, nil
}

func boolHeader(req *fasthttp.Request, name string) (bool, error) {
	switch v := string(req.Header.Peek(name)); v {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, fmt.Errorf("header %s: want true or false, got %q", name, v)
	}
}

func durationHeader(req *fasthttp.Request, name string) (time.Duration, error) {
	v := string(req.Header.Peek(name))
	if v == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("header %s: want a duration above zero such as 1500ms or 2s, got %q", name, v)
	}
	return d, nil
}

// checkName checks the name of a team or service: letters, digits, '.', '_'
// and '-'.
func checkName(what, name string) error {
	if name == "" || len(name) > maxNameLen {
		return fmt.Errorf("%s: want 1 to %d characters, got %d", what, maxNameLen, len(name))
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return fmt.Errorf("%s %q: want letters, digits, '.', '_' and '-' only", what, name)
		}
	}
	return nil
}

func isNameByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '.' || c == '_' || c == '-'
}

// parseNeed reads the form "cpu=0.5,memory=200MB,accelerators=1", each part
// optional.
func parseNeed(s string) (task.Resources, error) {
	var need task.Resources
	if s == "" {
		return need, nil
	}
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch name {
		case "cpu":
			need.MilliCPU, err = parseCPU(value)
		case "memory":
			need.MemoryMB, err = parseMemory(value)
		case "accelerators":
			need.Accelerators, err = parseCount(value)
		default:
			err = errors.New("want cpu, memory or accelerators")
		}
		if err != nil {
			return need, fmt.Errorf("%q: %w", part, err)
		}
	}
	return need, nil
}

func parseCPU(s string) (uint32, error) {
	cores, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, errors.New("want a number of cores such as 0.5")
	}
	return milliCPU(cores)
}

func milliCPU(cores float64) (uint32, error) {
	m := math.Ceil(cores * milliPerCore)
	if !(m >= 0 && m <= math.MaxUint32) {
		return 0, errors.New("the number of cores is out of range")
	}
	return uint32(m), nil
}

func parseMemory(s string) (uint32, error) {
	factor := uint64(1)
	digits, ok := strings.CutSuffix(s, "MB")
	if !ok {
		digits, ok = strings.CutSuffix(s, "GB")
		factor = mbPerGB
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if !ok || err != nil || n*factor > math.MaxUint32 {
		return 0, errors.New("want a size such as 200MB or 2GB")
	}
	return uint32(n * factor), nil
}

func parseCount(s string) (uint32, error) {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0, errors.New("want a whole number")
	}
	return uint32(n), nil
}
