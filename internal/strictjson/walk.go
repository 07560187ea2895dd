package strictjson

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"unicode/utf16"
)

// checkValue checks the keys and strings of valid JSON that are decoded into the type of
// into. Values that a type decodes itself are left to it.
func checkValue(text []byte, into any) error {
	w := walker{text: text}
	w.value(reflect.TypeOf(into))
	if w.err != nil {
		return w.err
	}
	return nil
}

// walker reads valid JSON along a Go type, until the first error.
type walker struct {
	text []byte
	at   int
	err  *Error
}

func (w *walker) fail(at int, format string, args ...any) {
	if w.err == nil {
		w.err = &Error{at, fmt.Sprintf(format, args...)}
	}
}

// peek skips spaces and returns the next byte, or zero at the end.
func (w *walker) peek() byte {
	for w.at < len(w.text) {
		switch c := w.text[w.at]; c {
		case ' ', '\t', '\r', '\n':
			w.at++
		default:
			return c
		}
	}
	return 0
}

// value reads a value of type t. If t is nil, its keys and strings are not checked.
func (w *walker) value(t reflect.Type) {
	t = decodedType(t)
	switch w.peek() {
	case '{':
		w.object(t)
	case '[':
		w.list(t)
	case '"':
		w.str(t != nil)
	default:
		w.scalar()
	}
}

// scalar skips a number, true, false or null.
func (w *walker) scalar() {
	for w.at < len(w.text) {
		switch w.text[w.at] {
		case ',', ']', '}', ' ', '\t', '\r', '\n':
			return
		}
		w.at++
	}
}

func (w *walker) list(t reflect.Type) {
	var element reflect.Type
	switch {
	case t == nil:
	case t.Kind() == reflect.Slice || t.Kind() == reflect.Array:
		element = t.Elem()
	case t.Kind() == reflect.Interface:
		element = t
	}
	w.at++
	for w.peek() != ']' && w.err == nil {
		w.value(element)
		if w.peek() == ',' {
			w.at++
		}
	}
	w.at++
}

func (w *walker) object(t reflect.Type) {
	start := w.at
	keys := keysOf(t)
	seen := make(map[string]bool, len(keys.fields))
	w.at++
	for w.peek() != '}' && w.err == nil {
		at := w.at
		key := w.str(t != nil)
		w.peek()
		w.at++ // the colon
		if w.peek() == 'n' && slices.Contains(keys.required, key) {
			w.fail(at, "%q is null", key)
		}
		f, ok := keys.fields[key]
		switch {
		case seen[key]:
			w.fail(at, "the key %q stands twice", key)
		case !ok && keys.likeKnown(key):
			w.fail(at, "the key %q differs from a known one by the case of letters", key)
		case ok || keys.other != nil:
			seen[key] = true
		}
		w.value(keys.typeOf(f, ok))
		if w.peek() == ',' {
			w.at++
		}
	}
	w.at++
	for _, key := range keys.required {
		if !seen[key] {
			w.fail(start, "%q is missing", key)
		}
	}
}

// str reads a string. If checked is set, it returns its value and fails at half of a
// surrogate pair.
func (w *walker) str(checked bool) string {
	start, escaped := w.at, false
	for w.at++; w.at < len(w.text) && w.text[w.at] != '"'; w.at++ {
		if w.text[w.at] != '\\' {
			continue
		}
		escaped = true
		if w.at++; checked && w.text[w.at] == 'u' {
			w.escape()
		}
	}
	w.at++
	raw := w.text[start:min(w.at, len(w.text))]
	switch {
	case !checked || len(raw) < len(`""`):
		return ""
	case !escaped:
		return string(raw[1 : len(raw)-1])
	}
	return unquote(raw)
}

// escapeBytes is the length of \uXXXX.
const escapeBytes = 6

// escape checks the \u escape whose u is next, and moves to its last byte or that of its
// pair.
func (w *walker) escape() {
	start := w.at - 1
	first := escapedAt(w.text, start)
	w.at = start + escapeBytes - 1
	if !utf16.IsSurrogate(first) {
		return
	}
	if utf16.DecodeRune(first, escapedAt(w.text, start+escapeBytes)) == '\uFFFD' {
		w.fail(start, "half of a surrogate pair")
		return
	}
	w.at += escapeBytes
}

// escapedAt returns the code unit of a \u escape, or zero if there is none.
func escapedAt(text []byte, at int) rune {
	if at+escapeBytes > len(text) || text[at] != '\\' || text[at+1] != 'u' {
		return 0
	}
	n, err := strconv.ParseUint(string(text[at+2:at+escapeBytes]), 16, 16)
	if err != nil {
		return 0
	}
	return rune(n)
}
