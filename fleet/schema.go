package fleet

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Bounds of the values. The Valid text of each key states them.
const (
	maxTasksLimit    = 100_000
	maxBodyLimit     = 16 << 20 // bytes
	maxWaitingLimit  = 10_000_000
	maxDeadlineLimit = time.Hour
	maxKeyKeep       = 7 * 24 * time.Hour
	maxWeight        = 1000
	maxRate          = 10_000_000 // tasks per second
	maxRunningLimit  = 1_000_000
	maxKeysLimit     = 1_000_000
	maxAttemptsLimit = 10
	maxHost          = 253  // bytes, as in DNS
	maxPrefix        = 2048 // bytes
	maxPriority      = 1000
	maxLatencyFactor = 1000
	maxRouteAttempts = 1000
)

// Key describes one configuration key. The tables below are the only definition
// of keys, their defaults and their valid values.
type Key struct {
	Name    string
	Default string
	// Valid describes the accepted values in words.
	Valid string
	// Help is a one-sentence description for operators.
	Help string
}

// field is a key together with the function that parses its value into a T.
type field[T any] struct {
	Key
	set func(*T, string) error
}

var serviceFields = []field[Service]{
	{Key{"max-tasks", "1000", "a whole number from 1 to 100000", "Maximum number of tasks in one job."},
		func(s *Service, v string) error { return setUint(&s.MaxTasks, v, 1, maxTasksLimit) }},
	{Key{"max-body", "1048576", "a whole number of bytes from 1 to 16777216", "Largest request body or task payload."},
		func(s *Service, v string) error { return setUint(&s.MaxBody, v, 1, maxBodyLimit) }},
	{Key{"deadline", "10s", "a duration from 1ms to 1h, such as 750ms or 10s", "Deadline of a request or job whose caller sets none."},
		func(s *Service, v string) error {
			return setDuration(&s.Deadline, v, time.Millisecond, maxDeadlineLimit)
		}},
	{Key{"max-deadline", "60s", "a duration from 1ms to 1h, not below deadline", "Longest deadline that a caller may set."},
		func(s *Service, v string) error {
			return setDuration(&s.MaxDeadline, v, time.Millisecond, maxDeadlineLimit)
		}},
	{Key{"max-waiting", "10000", "a whole number from 1 to 10000000", "Maximum number of tasks waiting at one entry."},
		func(s *Service, v string) error { return setUint(&s.MaxWaiting, v, 1, maxWaitingLimit) }},
	{Key{"key-keep", "24h", "a duration from 1m to 168h, not below max-deadline", "Retention period of an idempotency key."},
		func(s *Service, v string) error { return setDuration(&s.KeyKeep, v, time.Minute, maxKeyKeep) }},
}

var teamFields = []field[Team]{
	{Key{"weight", "1", "a whole number from 1 to 1000", "Share of the team when teams compete for capacity."},
		func(t *Team, v string) error { return setUint(&t.Weight, v, 1, maxWeight) }},
	{Key{"rate", "0", "a number from 0 to 10000000; 0 means no bound", "Maximum number of tasks per second of the whole team."},
		func(t *Team, v string) error { return setFloat(&t.Rate, v, 0, maxRate) }},
	{Key{"burst", "0", "a number from 0 to 10000000", "Number of tasks that may arrive at once in excess of rate."},
		func(t *Team, v string) error { return setFloat(&t.Burst, v, 0, maxRate) }},
	{Key{"max-running", "0", "a whole number from 0 to 1000000; 0 means no bound", "Maximum number of the team's tasks in flight at one entry."},
		func(t *Team, v string) error { return setUint(&t.MaxRunning, v, 0, maxRunningLimit) }},
	{Key{"max-keys", "10000", "a whole number from 0 to 1000000", "Maximum number of idempotency keys stored for the team at a time."},
		func(t *Team, v string) error { return setUint(&t.MaxKeys, v, 0, maxKeysLimit) }},
	{Key{"services", "", "names of services of this configuration, separated by commas; empty means all", "Services that the team may call."},
		func(t *Team, v string) error { return setNames(&t.Services, v) }},
}

var routeFields = []field[Route]{
	{Key{"host", "", "a host name", "Host of the requests."},
		func(r *Route, v string) error { return setText(&r.Host, v, maxHost) }},
	{Key{"prefix", "/", "a path that begins with /", "Prefix of the path of the requests."},
		func(r *Route, v string) error { return setPrefix(&r.Prefix, v) }},
	{Key{"service", "", "a service of this configuration", "Service that runs the tasks."},
		func(r *Route, v string) error { return setText(&r.Service, v, maxName) }},
	{Key{"timeout", "10s", "a duration from 1ms to 1h", "Longest time until the response."},
		func(r *Route, v string) error {
			return setDuration(&r.Timeout, v, time.Millisecond, maxDeadlineLimit)
		}},
	{Key{"target-latency", "0s", "a duration from 0s to 1h", "Time that the latency objective adds to the critical path times latency-factor."},
		func(r *Route, v string) error { return setDuration(&r.TargetLatency, v, 0, maxDeadlineLimit) }},
	{Key{"latency-factor", "1", "a number from 0 to 1000", "Factor of the critical path of a job in the latency objective."},
		func(r *Route, v string) error { return setFloat(&r.LatencyFactor, v, 0, maxLatencyFactor) }},
	{Key{"priority", "0", "a whole number from 0 to 1000", "Priority among routes; 0 is the highest."},
		func(r *Route, v string) error { return setUint(&r.Priority, v, 0, maxPriority) }},
	{Key{"max-attempts", "1", "a whole number from 1 to 1000", "Maximum number of failed runs of one task."},
		func(r *Route, v string) error { return setUint(&r.MaxAttempts, v, 1, maxRouteAttempts) }},
	{Key{"idempotent", "false", "true or false", "Whether requests may be repeated."},
		func(r *Route, v string) error { return setBool(&r.Idempotent, v) }},
}

var retryFields = []field[Retry]{
	{Key{"budget", "0.1", "a number from 0 to 1", "Maximum number of retries, as a share of recent successes."},
		func(r *Retry, v string) error { return setFloat(&r.Budget, v, 0, 1) }},
	{Key{"max-attempts", "3", "a whole number from 1 to 10", "Maximum number of times that one idempotent request is sent."},
		func(r *Retry, v string) error { return setUint(&r.MaxAttempts, v, 1, maxAttemptsLimit) }},
}

var domainFields = []field[Domain]{
	{Key{keyEvacuated, "false", "true or false", "Whether the failure domain gets no new work."},
		func(d *Domain, v string) error { return setBool(&d.Evacuated, v) }},
}

// keyEvacuated is the key of a failure domain's evacuation.
const keyEvacuated = "evacuated"

// The kinds of sections.
const (
	kindService = "service"
	kindTeam    = "team"
	kindRoute   = "route"
	kindRetry   = "retry"
	kindDomain  = "domain"
)

// validSections describes the accepted section headers.
const validSections = "[service NAME], [team NAME], [route NAME] and [retry]"

// keysByKind holds the keys of each kind of section.
var keysByKind = map[string][]Key{
	kindService: keysOf(serviceFields),
	kindTeam:    keysOf(teamFields),
	kindRoute:   keysOf(routeFields),
	kindRetry:   keysOf(retryFields),
	kindDomain:  keysOf(domainFields),
}

// Keys returns the keys of a kind of section: service, team, route, retry or domain. It
// returns nil for any other kind. The caller must not change them.
func Keys(kind string) []Key { return keysByKind[kind] }

func keysOf[T any](fields []field[T]) []Key {
	out := make([]Key, len(fields))
	for i, f := range fields {
		out[i] = f.Key
	}
	return out
}

// checkValue returns an error if a value is not valid for a key of a kind of
// section.
func checkValue(kind, key, value string) error {
	switch kind {
	case kindService:
		return setField(new(Service), serviceFields, key, value)
	case kindTeam:
		return setField(new(Team), teamFields, key, value)
	case kindRoute:
		return setField(new(Route), routeFields, key, value)
	case kindRetry:
		return setField(new(Retry), retryFields, key, value)
	case kindDomain:
		return setField(new(Domain), domainFields, key, value)
	}
	return fmt.Errorf("unknown section")
}

func setField[T any](dst *T, fields []field[T], key, value string) error {
	for _, f := range fields {
		if f.Name == key {
			return f.set(dst, value)
		}
	}
	return fmt.Errorf("unknown key")
}

func setDefaults[T any](dst *T, fields []field[T]) {
	for _, f := range fields {
		if err := f.set(dst, f.Default); err != nil {
			panic(fmt.Sprintf("fleet: default of %s: %v", f.Name, err))
		}
	}
}

func setUint(dst *uint32, v string, low, high uint32) error {
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		return fmt.Errorf("%q is not a whole number", v)
	}
	if uint32(n) < low || uint32(n) > high {
		return fmt.Errorf("%s is outside %d to %d", v, low, high)
	}
	*dst = uint32(n)
	return nil
}

func setFloat(dst *float64, v string, low, high float64) error {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) {
		return fmt.Errorf("%q is not a number", v)
	}
	if f < low || f > high {
		return fmt.Errorf("%s is outside %g to %g", v, low, high)
	}
	*dst = f
	return nil
}

func setDuration(dst *time.Duration, v string, low, high time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return fmt.Errorf("%q is not a duration", v)
	}
	if d < low || d > high {
		return fmt.Errorf("%s is outside %s to %s", v, low, high)
	}
	*dst = d
	return nil
}

func setText(dst *string, v string, limit int) error {
	if len(v) > limit || strings.ContainsAny(v, "\r\n") {
		return fmt.Errorf("%q is not one line of at most %d bytes", v, limit)
	}
	*dst = v
	return nil
}

func setPrefix(dst *string, v string) error {
	if !strings.HasPrefix(v, "/") {
		return fmt.Errorf("%q does not begin with /", v)
	}
	return setText(dst, v, maxPrefix)
}

func setBool(dst *bool, v string) error {
	if v != "true" && v != "false" {
		return fmt.Errorf("%q is neither true nor false", v)
	}
	*dst = v == "true"
	return nil
}

func setNames(dst *[]string, v string) error {
	*dst = nil
	if v == "" {
		return nil
	}
	for name := range strings.SplitSeq(v, ",") {
		name = strings.TrimSpace(name)
		if !validName(name) {
			return fmt.Errorf("%q is not a name", name)
		}
		*dst = append(*dst, name)
	}
	return nil
}

// maxName bounds the length of names of services, teams, routes and sites.
const maxName = 64

// validName reports whether s is a valid name of a service, team, route or site:
// lower-case letters, digits, '-' and '_'.
func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
