// Package logging provides each part of a process with a logger that has a fixed
// prefix. All loggers of a process share one output, format and level.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Part identifies a component of a process. It is the prefix of the component's
// log lines.
type Part string

// Parts of the processes.
const (
	PartDaemon    Part = "daemon"
	PartEntry     Part = "entry"
	PartAgent     Part = "agent"
	PartControl   Part = "control"
	PartRaft      Part = "raft"
	PartWAL       Part = "wal"
	PartTransport Part = "transport"
	PartKeys      Part = "keys"
	PartFleet     Part = "fleet"
	PartHTTP      Part = "http"
	PartAdmin     Part = "admin"
	PartUpstream  Part = "upstream"
	PartLoad      Part = "load"
	PartDev       Part = "dev"
)

// Output formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Root creates the loggers of one process. It is safe for concurrent use.
type Root struct {
	w      io.Writer
	format log.Formatter

	mu    sync.Mutex
	level log.Level
	parts map[Part]*log.Logger
}

// New returns a root whose loggers write to w.
func New(w io.Writer, level, format string) (*Root, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logging: level %q: want debug, info, warn or error", level)
	}
	f, err := parseFormat(format)
	if err != nil {
		return nil, err
	}
	return &Root{w: w, format: f, level: l, parts: make(map[Part]*log.Logger)}, nil
}

// Discard returns a root whose loggers write nothing.
func Discard() *Root {
	return &Root{w: io.Discard, level: log.FatalLevel, parts: make(map[Part]*log.Logger)}
}

func parseFormat(s string) (log.Formatter, error) {
	switch s {
	case FormatText:
		return log.TextFormatter, nil
	case FormatJSON:
		return log.JSONFormatter, nil
	}
	return 0, fmt.Errorf("logging: format %q: want %s or %s", s, FormatText, FormatJSON)
}

// For returns the logger of a part.
func (r *Root) For(p Part) *log.Logger {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.parts[p]; ok {
		return l
	}
	l := log.NewWithOptions(r.w, log.Options{
		Prefix:          string(p),
		Level:           r.level,
		Formatter:       r.format,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	})
	r.parts[p] = l
	return l
}

// SetLevel sets the level of all existing and future loggers.
func (r *Root) SetLevel(level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("logging: level %q: want debug, info, warn or error", level)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.level = l
	for _, part := range r.parts {
		part.SetLevel(l)
	}
	return nil
}
