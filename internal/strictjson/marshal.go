package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"unicode/utf8"
)

// shownBytes is how much of a text that can't be encoded an error shows.
const shownBytes = 40

// Marshal encodes v like package encoding/json, but returns an error for text that is not
// UTF-8, which that package replaces.
func Marshal(v any) ([]byte, error) {
	if text, ok := invalidText(reflect.ValueOf(v)); ok {
		return nil, fmt.Errorf("%q is not UTF-8", text[:min(len(text), shownBytes)])
	}
	return json.Marshal(v)
}

// invalidText returns the first string in v that is not UTF-8. It doesn't read values behind
// interfaces, and takes byte slices as base64.
func invalidText(v reflect.Value) (text string, ok bool) {
	switch v.Kind() {
	case reflect.String:
		return v.String(), !utf8.ValidString(v.String())
	case reflect.Pointer:
		if !v.IsNil() {
			return invalidText(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if text, ok := invalidText(v.Field(i)); ok {
				return text, true
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return "", false
		}
		for i := range v.Len() {
			if text, ok := invalidText(v.Index(i)); ok {
				return text, true
			}
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			for _, part := range []reflect.Value{it.Key(), it.Value()} {
				if text, ok := invalidText(part); ok {
					return text, true
				}
			}
		}
	}
	return "", false
}
