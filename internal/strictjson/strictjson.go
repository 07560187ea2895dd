// Package strictjson decodes JSON that must mean the same to every reader. Package
// encoding/json repairs what it can't represent: it replaces bytes that are not UTF-8 and
// halves of surrogate pairs, takes the last of several values for a key, and matches keys in
// any case. Here each of these is an error.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Error is text that package encoding/json accepts and this package does not.
type Error struct {
	// Offset is the position in the text, in bytes.
	Offset int
	Reason string
}

// Error returns the reason and the position.
func (e *Error) Error() string { return fmt.Sprintf("byte %d: %s", e.Offset, e.Reason) }

// Unmarshal decodes exactly one JSON value. Unknown keys are ignored. A field with the tag
// strictjson:"required" must be present and not null.
func Unmarshal(text []byte, into any) error { return decode(text, into, false) }

// UnmarshalKnown is Unmarshal that refuses unknown keys.
func UnmarshalKnown(text []byte, into any) error { return decode(text, into, true) }

func decode(text []byte, into any, known bool) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	if known {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &Error{int(dec.InputOffset()), "more than one JSON value"}
	}
	return Check(text, into)
}

// Check returns an *Error if text, which package encoding/json has decoded into a value of
// the type of into, says something else to another reader.
func Check(text []byte, into any) error {
	if err := checkUTF8(text); err != nil {
		return err
	}
	return checkValue(text, into)
}

func checkUTF8(text []byte) error {
	if utf8.Valid(text) {
		return nil
	}
	for i := 0; ; {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return &Error{i, "not UTF-8"}
		}
		i += size
	}
}
