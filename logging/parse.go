package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Field is a key of a log line with its value as text.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Record is a parsed log line of one of this module's programs.
type Record struct {
	// Source is the text that a log collector put before the line, such as the
	// host's name, without the collector's own times.
	Source string    `json:"source,omitempty"`
	Time   time.Time `json:"time"`
	Level  string    `json:"level"`
	Part   Part      `json:"part"`
	Text   string    `json:"text"`
	Fields []Field   `json:"fields"`
}

// Get returns the value of a key, or an empty string if the line does not have it.
func (r *Record) Get(key string) string {
	for _, f := range r.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse parses a line in either format, with or without text that a log collector
// put before it. It returns false for lines of other programs.
func Parse(line string) (Record, bool) {
	if i := strings.IndexByte(line, '{'); i >= 0 {
		if r, ok := parseJSON(line[i:]); ok {
			r.Source = parseSource(line[:i])
			return r, true
		}
	}
	return parseText(line)
}

// parseSource returns the words of the text before a line, without numbers, which
// are the collector's own times.
func parseSource(before string) string {
	var words []string
	for _, word := range strings.Fields(before) {
		if _, err := strconv.ParseFloat(word, 64); err != nil {
			words = append(words, word)
		}
	}
	return strings.Join(words, " ")
}

func parseText(line string) (Record, bool) {
	var r Record
	rest, before := line, 0
	for r.Time.IsZero() {
		before = len(line) - len(rest)
		word, after, found := strings.Cut(strings.TrimLeft(rest, " \t"), " ")
		if !found {
			return r, false
		}
		if at, err := time.Parse(time.RFC3339Nano, word); err == nil {
			r.Time = at
		}
		rest = after
	}
	r.Source = parseSource(line[:before])
	level, rest, _ := strings.Cut(rest, " ")
	part, rest, found := strings.Cut(rest, ": ")
	if !found || strings.ContainsAny(part, " =") {
		return r, false
	}
	r.Level, r.Part = strings.ToLower(level), Part(part)
	r.Text, r.Fields = splitFields(rest)
	return r, true
}

// splitFields separates a message from its key=value pairs.
func splitFields(s string) (string, []Field) {
	var text []string
	var fields []Field
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimLeft(s, " ") {
		word, _, _ := strings.Cut(s, " ")
		key, _, isField := strings.Cut(word, "=")
		if !isField || key == "" || strings.ContainsRune(key, '"') {
			text = append(text, word)
			s = s[len(word):]
			continue
		}
		value, length := fieldValue(s[len(key)+1:])
		fields = append(fields, Field{key, value})
		s = s[len(key)+1+length:]
	}
	return strings.Join(text, " "), fields
}

// fieldValue returns the value at the start of s, unquoted, and its length in
// bytes within s.
func fieldValue(s string) (string, int) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil && s[0] == '"' {
		if value, err := strconv.Unquote(quoted); err == nil {
			return value, len(quoted)
		}
	}
	word, _, _ := strings.Cut(s, " ")
	return word, len(word)
}

func parseJSON(s string) (Record, bool) {
	d := json.NewDecoder(strings.NewReader(s))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return Record{}, false
	}
	var r Record
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return r, false
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return r, false
		}
		r.setField(fmt.Sprint(key), jsonText(raw))
	}
	return r, !r.Time.IsZero()
}

func (r *Record) setField(key, value string) {
	switch key {
	case "time":
		// The error is ignored: parseJSON rejects a line without a valid time as
		// one of another program.
		r.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "level":
		r.Level = value
	case "prefix":
		r.Part = Part(value)
	case "msg":
		r.Text = value
	default:
		r.Fields = append(r.Fields, Field{key, value})
	}
}

// jsonText returns a JSON value as text; strings are unquoted.
func jsonText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(bytes.TrimSpace(raw))
}
