package logging

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// LineLogger writes log lines of level info. *log.Logger and *Lines implement it.
type LineLogger interface {
	Info(msg any, keyvals ...any)
}

// Lines writes the lines of one part that are written for each request or task. Its
// format is that of the part's logger, at a small fraction of the cost. It is safe for
// concurrent use if the root's writer is.
type Lines struct {
	root *Root
	part Part
}

var (
	_ LineLogger = (*log.Logger)(nil)
	_ LineLogger = (*Lines)(nil)
)

// Lines returns the Lines of a part.
func (r *Root) Lines(p Part) *Lines { return &Lines{root: r, part: p} }

// lineBuffers holds the buffers in which lines are formatted.
var lineBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Info writes a line with alternating keys and values.
func (l *Lines) Info(msg any, keyvals ...any) {
	if !l.root.enabled(log.InfoLevel) {
		return
	}
	buf := lineBuffers.Get().(*[]byte)
	now := time.Now().UTC()
	if l.root.format == log.JSONFormatter {
		*buf = l.appendJSON((*buf)[:0], now, msg, keyvals)
	} else {
		*buf = l.appendText((*buf)[:0], now, msg, keyvals)
	}
	// Loggers have no one to report a failed write to; AsyncWriter counts them.
	_, _ = l.root.w.Write(*buf)
	lineBuffers.Put(buf)
}

func (r *Root) enabled(l log.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.level <= l
}

func (l *Lines) appendText(b []byte, now time.Time, msg any, keyvals []any) []byte {
	b = now.AppendFormat(b, time.RFC3339Nano)
	b = append(b, " INFO "...)
	b = append(b, l.part...)
	b = append(b, ": "...)
	b = append(b, valueText(msg)...)
	for i := 0; i+1 < len(keyvals); i += 2 {
		b = append(b, ' ')
		b = append(b, valueText(keyvals[i])...)
		b = append(b, '=')
		b = appendTextValue(b, keyvals[i+1])
	}
	return append(b, '\n')
}

// appendTextValue appends a value, quoted if a reader could not tell its end.
func appendTextValue(b []byte, v any) []byte {
	if num, ok := appendNumber(b, v); ok {
		return num
	}
	s := valueText(v)
	if s == "" || !plain(s) && strings.ContainsFunc(s, needsQuotes) {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}

// plain reports whether s is of ASCII that needs no quotes, as most values are.
func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == '"' || c == '=' {
			return false
		}
	}
	return true
}

func needsQuotes(r rune) bool { return r <= ' ' || r == '"' || r == '=' || !strconv.IsPrint(r) }

func (l *Lines) appendJSON(b []byte, now time.Time, msg any, keyvals []any) []byte {
	b = append(b, `{"time":"`...)
	b = now.AppendFormat(b, time.RFC3339Nano)
	b = append(b, `","level":"info","prefix":`...)
	b = appendJSONString(b, string(l.part))
	b = append(b, `,"msg":`...)
	b = appendJSONString(b, valueText(msg))
	for i := 0; i+1 < len(keyvals); i += 2 {
		b = append(b, ',')
		b = appendJSONString(b, valueText(keyvals[i]))
		b = append(b, ':')
		if num, ok := appendNumber(b, keyvals[i+1]); ok {
			b = num
		} else {
			b = appendJSONString(b, valueText(keyvals[i+1]))
		}
	}
	return append(b, "}\n"...)
}

// appendNumber appends a finite number or a bool. For all other values, also those of
// named types, ok is false.
func appendNumber(b []byte, v any) (out []byte, ok bool) {
	switch v := v.(type) {
	case int:
		return strconv.AppendInt(b, int64(v), 10), true
	case int64:
		return strconv.AppendInt(b, v, 10), true
	case uint32:
		return strconv.AppendUint(b, uint64(v), 10), true
	case uint64:
		return strconv.AppendUint(b, v, 10), true
	case float64:
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			return fmt.Append(b, v), true
		}
	case bool:
		return strconv.AppendBool(b, v), true
	}
	return b, false
}

func valueText(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	}
	return fmt.Sprint(v)
}

func appendJSONString(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		// A string always has an encoding.
		return append(b, `""`...)
	}
	return append(b, quoted...)
}
